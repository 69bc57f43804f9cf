/** An expected failure: a kind for code to branch on and a message for people to read. */
export interface Failure<Kind extends string = string> {
  readonly kind: Kind;
  readonly message: string;
}

/** Error that wraps a failure where it has to be thrown. */
export class FailureError<F extends Failure = Failure> extends Error {
  public override readonly name = 'FailureError';

  public constructor(public readonly failure: F) {
    super(`${failure.kind}: ${failure.message}`);
  }
}

/** Formats a caught value as text: an error's message, and its code if it has one. */
export function formatError(caught: unknown): string {
  if (caught instanceof Error) {
    const code = 'code' in caught ? ` (${String(caught.code)})` : '';
    return `${caught.message}${code}`;
  }
  return String(caught);
}
