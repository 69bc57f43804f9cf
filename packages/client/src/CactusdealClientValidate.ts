import {
  applyOperations,
  createEmptySnapshot,
  type RuleViolation,
  validateSnapshot,
  ViolationKind,
} from '@cactusdeal/configuration';
import {
  createValidator,
  formatFault,
  type Intent,
  type Operation,
  type SchemaFault,
  type Snapshot,
  validateSettings,
  type Validator,
} from '@cactusdeal/schema';
import { type Either, Left, Right } from 'purify-ts';
import { readTable, type Table } from './CactusdealClientFiles.js';
import { buildUsageFailure, type UsageFailure } from './CactusdealClientIntents.js';

/** What a file holds. */
export const FileContent = {
  /** Settings of a daemon. */
  Settings: 'settings',
  /** Operations for `cactusctl apply`. */
  Operations: 'operations',
  /** A whole configuration, as `cactusctl show --json` prints it. */
  Snapshot: 'snapshot',
} as const;
export type FileContent = (typeof FileContent)[keyof typeof FileContent];

/** A value that its schema does not allow, or an entry that breaks a rule of the configuration. */
export type FileFault = SchemaFault | RuleViolation;

/** The result of validating a file. */
export interface FileReport {
  readonly file: string;
  readonly content: FileContent;
  readonly faults: readonly FileFault[];
  /** What the configuration must hold already when the operations are applied. */
  readonly requirements: readonly string[];
}

type Findings = Pick<FileReport, 'faults' | 'requirements'>;

/** Top-level keys by which the content of a file is told. */
const CONTENT_KEYS: readonly (readonly [FileContent, readonly string[]])[] = [
  [FileContent.Operations, ['operations']],
  [FileContent.Snapshot, ['services', 'routes', 'drains']],
  [FileContent.Settings, ['cluster', 'dataCentre', 'listen', 'platform']],
];

/** Violations that the configuration in force may mend, if operations are only a part of it. */
const REQUIREMENT_KINDS: ReadonlySet<ViolationKind> = new Set([
  ViolationKind.RouteToAbsentService,
  ViolationKind.DrainOfAbsentService,
]);

const validateIntent = createValidator<Intent & { readonly type: 'applyOperations' }>(
  'configuration#/definitions/Intent',
);
const validateSnapshotSchema = createValidator<Snapshot>('configuration#/definitions/Snapshot');

const CHECKS: Readonly<Record<FileContent, (table: Table) => Findings>> = {
  [FileContent.Settings]: (table) => validateBySchema(validateSettings, table, findNothing),
  [FileContent.Operations]: ({ operations }) =>
    validateBySchema(validateIntent, { type: 'applyOperations', operations }, checkOperations),
  [FileContent.Snapshot]: (table) =>
    validateBySchema(validateSnapshotSchema, table, (snapshot) => ({
      faults: validateSnapshot(snapshot),
      requirements: [],
    })),
};

/** Validates a TOML or JSON file without a daemon. Fails if it cannot be told what the file holds. */
export async function validateFile(path: string): Promise<Either<UsageFailure, FileReport>> {
  const table = await readTable(path);
  return table.chain((value) =>
    findContent(path, value).map((content) => ({ file: path, content, ...CHECKS[content](value) })),
  );
}

/** Formats a report as text, one line for each fault and each requirement. */
export function formatReport({ file, content, faults, requirements }: FileReport): string {
  const verdict = faults.length === 0 ? 'valid' : `${faults.length} fault(s)`;
  return [
    `${file}: ${content}, ${verdict}`,
    ...faults.map((fault) => `  ${formatFileFault(fault)}`),
    ...requirements.map((requirement) => `  requires: ${requirement}`),
  ].join('\n');
}

function findContent(path: string, table: Table): Either<UsageFailure, FileContent> {
  const match = CONTENT_KEYS.find(([, keys]) => keys.some((key) => Object.hasOwn(table, key)));
  if (match !== undefined) return Right(match[0]);
  const found = JSON.stringify(Object.keys(table).slice(0, 8));
  const allowed = CONTENT_KEYS.map(([content, keys]) => `${content} (${keys.join(', ')})`);
  return Left(
    buildUsageFailure(`${path}: found the keys ${found}, allowed: ${allowed.join(' or ')}`),
  );
}

/** Validates a value by its schema first; `check` sees only one that matches it. */
function validateBySchema<T>(
  validate: Validator<T>,
  value: unknown,
  check: (valid: T) => Findings,
): Findings {
  return validate(value).caseOf({
    Left: ({ faults }) => ({ faults, requirements: [] }),
    Right: check,
  });
}

function findNothing(): Findings {
  return { faults: [], requirements: [] };
}

/** Operations are a part of a configuration: what others name may exist in the one in force. */
function checkOperations({ operations }: { readonly operations: readonly Operation[] }): Findings {
  const { applicable, removals } = splitRemovals(operations);
  const snapshot = applyOperations(createEmptySnapshot(), applicable).orDefault(
    createEmptySnapshot(),
  );
  const violations = validateSnapshot(snapshot);
  const isRequirement = ({ kind }: RuleViolation): boolean => REQUIREMENT_KINDS.has(kind);
  return {
    faults: violations.filter((violation) => !isRequirement(violation)),
    requirements: [
      ...violations.filter(isRequirement).map(formatRequirement),
      ...removals.map(({ type, name }) => `${type} ${name}: an entry of this name`),
    ],
  };
}

/** Splits off the removals of entries that no earlier operation of the file sets. */
function splitRemovals(operations: readonly Operation[]): {
  readonly applicable: readonly Operation[];
  readonly removals: readonly Operation[];
} {
  const entries = new Set<string>();
  const removals = operations.filter(({ type, name }) => {
    const entry = `${type.replace(/^(set|remove)/, '')} ${name}`;
    if (type.startsWith('remove')) return !entries.delete(entry);
    entries.add(entry);
    return false;
  });
  const removed = new Set(removals);
  return { applicable: operations.filter((operation) => !removed.has(operation)), removals };
}

function formatRequirement({ subject, message }: RuleViolation): string {
  return `${subject}: ${message.replace(/ does not exist$/, '')}`;
}

function formatFileFault(fault: FileFault): string {
  return 'subject' in fault ? `${fault.subject}: ${fault.message}` : formatFault(fault);
}
