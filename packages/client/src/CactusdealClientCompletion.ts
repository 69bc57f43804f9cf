import type { CAC } from 'cac';

/** An example for the help of each verb. */
const EXAMPLES: Readonly<Record<string, string>> = {
  weights: 'weights paint-orders oeste=3 centro=1',
  drain: 'drain evidence-2 --service evidence --reason "new disk"',
  undrain: 'undrain evidence-2',
  'set-service': 'set-service evidence --tenant researchers --weight sapporo=2',
  'remove-service': 'remove-service evidence',
  'set-route': 'set-route evidence-reading --service evidence --method GET --path /evidence',
  'remove-route': 'remove-route evidence-reading',
  apply: 'apply deploy/oviedo/configuration.toml',
  revert: 'revert 12',
  confirm: 'confirm PLAN',
  status: 'status --daemon 127.0.0.1:7112',
  history: 'history --json',
  show: 'show --json',
  explain: 'explain 9c41d07be2a35f68 daemon-1.log daemon-2.log',
  validate: 'validate deploy/local/ebetsu-1.toml',
  completion: 'completion > ~/.cactusctl.bash && source ~/.cactusctl.bash',
};

/** Adds the examples to the help of the verbs that the program has. */
export function addExamples(program: CAC): void {
  program.commands.forEach((command) => {
    const example = EXAMPLES[command.name];
    if (example !== undefined) command.example(`cactusctl ${example}`);
  });
}

/** Builds a script for bash that completes the verbs, the flags of each verb, and file names. */
export function buildCompletion(program: CAC): string {
  const globalFlags = listFlags(program.globalCommand.options);
  const cases = program.commands.map(({ name, options }) => {
    const flags = [...listFlags(options), ...globalFlags].join(' ');
    return `    ${name}) words="${flags}" ;;`;
  });
  const verbs = program.commands.map(({ name }) => name).join(' ');
  return [
    '_cactusctl() {',
    '  local words',
    `  case "\${COMP_WORDS[1]}" in`,
    ...cases,
    `    *) words="${verbs}" ;;`,
    '  esac',
    `  [ "$COMP_CWORD" -gt 1 ] || words="${verbs}"`,
    `  COMPREPLY=($(compgen -W "$words" -- "\${COMP_WORDS[COMP_CWORD]}"))`,
    '}',
    'complete -o default -F _cactusctl cactusctl',
  ].join('\n');
}

function listFlags(options: readonly { readonly rawName: string }[]): readonly string[] {
  return options.flatMap(({ rawName }) => rawName.match(/--[a-z-]+/g) ?? []);
}
