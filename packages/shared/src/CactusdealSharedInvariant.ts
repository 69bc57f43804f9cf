/** Thrown when the program itself is wrong: a state that no input can bring about. */
export class InvariantError extends Error {
  public override readonly name = 'InvariantError';
}

/**
 * Asserts a condition that holds unless the program has a defect.
 *
 * @throws InvariantError when the condition is false.
 */
export function invariant(condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}
