import { setFlagsFromString } from 'node:v8'

// The control process is mostly idle and must stay within 64 MB. Interpreted code and a small young generation use about 15 MB less
// than optimised code. The flags are set before any other module is loaded, because memory of compiled code is not released.
setFlagsFromString('--no-opt')
setFlagsFromString('--no-sparkplug')
setFlagsFromString('--optimize-for-size')
setFlagsFromString('--semi-space-growth-factor=1')
