import { Command } from 'commander'

new Command('tanagerusher-load').description('Load, experiments, replay and reports').version('0.1.0').parse()
