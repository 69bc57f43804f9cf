import { type Either, Left, Right } from 'purify-ts';
import { type Failure, formatError } from './CactusdealSharedFailure.js';

/** Why a text is not accepted as JSON. */
export type JsonFailure = Failure<'JsonMalformed' | 'JsonTooDeep'>;

/**
 * Deepest nesting of arrays and objects that is accepted. Formatting, comparing and patching a value
 * recurse into it, and a deeper one could exceed the stack.
 */
export const MAX_JSON_DEPTH = 64;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING: ReadonlySet<number> = new Set([0x5b, 0x7b]);
const CLOSING: ReadonlySet<number> = new Set([0x5d, 0x7d]);

/** Parses JSON that another party wrote. */
export function parseJson(text: string): Either<JsonFailure, unknown> {
  if (measureDepth(text) > MAX_JSON_DEPTH) {
    const message = `nested deeper than ${MAX_JSON_DEPTH} levels`;
    return Left({ kind: 'JsonTooDeep', message });
  }
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (caught) {
    return Left({ kind: 'JsonMalformed', message: `not valid JSON: ${formatError(caught)}` });
  }
}

/** Measures how deep arrays and objects are nested, without recursion. */
function measureDepth(text: string): number {
  let depth = 0;
  let maxDepth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (isInString && code === BACKSLASH) index += 1;
    else if (code === QUOTE) isInString = !isInString;
    else if (!isInString && OPENING.has(code)) {
      depth += 1;
      maxDepth = Math.max(maxDepth, depth);
    } else if (!isInString && CLOSING.has(code)) depth -= 1;
  }
  return maxDepth;
}
