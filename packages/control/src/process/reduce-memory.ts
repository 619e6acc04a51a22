import { setFlagsFromString } from 'node:v8'

// Control is mostly idle and has to stay within 64 MB: interpreted code and a small young generation cost about 15 MB
// less than optimised code. Set before any other module is loaded, since compiled code is not given back.
setFlagsFromString('--no-opt')
setFlagsFromString('--no-sparkplug')
setFlagsFromString('--optimize-for-size')
setFlagsFromString('--semi-space-growth-factor=1')
