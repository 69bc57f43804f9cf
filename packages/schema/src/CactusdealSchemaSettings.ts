import type { DaemonSettings } from './CactusdealSchemaSettings.generated.js';

type Complete<T> = T extends readonly unknown[]
  ? T
  : T extends object
    ? { readonly [Key in keyof T]-?: Complete<NonNullable<T[Key]>> }
    : T;

/** Settings with every default filled in. */
export type CompleteSettings = Complete<DaemonSettings>;
