import type { DaemonSettings } from './CactusdealSchemaSettings.generated.js';

/** Makes every property of `T` required and read-only, at all levels; arrays stay as they are. */
type Complete<T> = T extends readonly unknown[]
  ? T
  : T extends object
    ? { readonly [Key in keyof T]-?: Complete<NonNullable<T[Key]>> }
    : T;

/** Settings of a daemon after the schema's defaults have been filled in. */
export type CompleteSettings = Complete<DaemonSettings>;
