import type { Command } from 'commander'
import { CommandFailure } from '../client/command-failure.js'

/** Returns a completion script for the names of the commands and their subcommands. */
export function formatCompletion (shell: string, program: Command): string {
  const name = program.name()
  const commands = program.commands.map((command) => command.name())
  const groups = program.commands.filter(({ commands }) => commands.length > 0)
  const nested = groups.map((group) => ({ group: group.name(), names: group.commands.map((command) => command.name()).join(' ') }))
  switch (shell) {
    case 'bash': return `_${name}() {
  local words="${commands.join(' ')}"
  case "\${COMP_WORDS[COMP_CWORD-1]}" in
${nested.map(({ group, names }) => `    ${group}) words="${names}" ;;`).join('\n')}
  esac
  COMPREPLY=($(compgen -W "$words" -- "\${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _${name} ${name}`
    case 'zsh': return `#compdef ${name}
_${name}() {
  case "\${words[CURRENT-1]}" in
${nested.map(({ group, names }) => `    ${group}) compadd ${names} ;;`).join('\n')}
    *) compadd ${commands.join(' ')}; _files ;;
  esac
}
compdef _${name} ${name}`
    case 'fish': return [
      `complete -c ${name} -n __fish_use_subcommand -a "${commands.join(' ')}"`,
      ...nested.map(({ group, names }) => `complete -c ${name} -n "__fish_seen_subcommand_from ${group}" -a "${names}"`)
    ].join('\n')
    default: throw new CommandFailure('usage', `There is no completion for ${shell}.`, 'Use bash, zsh or fish.')
  }
}
