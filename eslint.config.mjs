import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

// Verbs that a function's name may begin with, one line for each letter.
const VERBS = `
  accept add admit announce answer append apply assert
  batch build
  cancel check choose claim close collect commit compare compute confirm connect convert count create
  decode diff discard drain
  emit encode evict expand explain
  fetch fill find finish fit flush format forward
  get grant group
  handle has hash hold
  invariant is
  join
  leave list listen load log
  main match measure merge
  observe open
  parse pick plan print probe publish push
  quarantine
  read receive record refuse register reject release remove render renew replace report resolve retry route run
  schedule select send serve set settle share shed should split start stop store subscribe survey suspect swap sync
  take to track trim try
  update use
  validate
  wait warn watch wire with wrap write
`
  .trim()
  .split(/\s+/)
  .join('|');

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', '**/*.generated.ts'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: process.cwd() },
    },
    rules: {
      // House rules that go before the guide; docs/STYLE.md names each with its reason.
      'import-x/prefer-default-export': 'off',
      'import-x/no-useless-path-segments': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: false, variables: false },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
        {
          selector: 'ForInStatement',
          message: 'Use Object.keys, Object.values or Object.entries.',
        },
        { selector: 'LabeledStatement', message: 'Labels make the flow hard to follow.' },
        {
          selector: `FunctionDeclaration[id.name!=/^(${VERBS})([A-Z0-9]|$)/]`,
          message: 'A function name begins with a verb of docs/STYLE.md.',
        },
      ],
    },
  },
  {
    files: ['**/*.mjs', '**/*.cjs'],
    rules: {
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'import-x/extensions': 'off',
      'no-use-before-define': ['error', { functions: false }],
      'no-console': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    // node:test's describe and it return promises that its runner awaits.
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
