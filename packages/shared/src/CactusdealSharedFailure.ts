/** The shape of every expected failure: a kind to branch on and a message for people. */
export interface Failure<Kind extends string = string> {
  readonly kind: Kind;
  readonly message: string;
}

/** Carries a typed failure through code that can only throw. */
export class FailureError<F extends Failure = Failure> extends Error {
  public override readonly name = 'FailureError';

  public constructor(public readonly failure: F) {
    super(`${failure.kind}: ${failure.message}`);
  }
}

/** Formats anything that was caught as one line of text. */
export function formatCaught(caught: unknown): string {
  if (caught instanceof Error) {
    const code = 'code' in caught ? ` (${String(caught.code)})` : '';
    return `${caught.message}${code}`;
  }
  return String(caught);
}
