import {
  buildNotDone,
  buildUnknown,
  type Platform,
  type PlatformFailure,
} from '@cactusdeal/platform';
import { type Either, Left } from 'purify-ts';

/** What happens to one platform call. */
export const CallFault = {
  None: 'none',
  /** Refused: it takes no effect and the caller knows. */
  Refused: 'refused',
  /** Lost on the way there: it takes no effect and the caller does not know. */
  LostBefore: 'lostBefore',
  /** Lost on the way back: it takes effect and the caller does not know. */
  LostAfter: 'lostAfter',
} as const;
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

/** A platform call as a test sees it. */
export interface SeenCall {
  readonly operation: keyof Platform;
  readonly key: string;
}

/** Chooses what happens to a call; may wait, so that a test orders calls. */
export type ChooseFault = (call: SeenCall) => CallFault | Promise<CallFault>;

/** Wraps a platform so that a test chooses what happens to each call. */
export function wrapPlatform(platform: Platform, chooseFault: ChooseFault): Platform {
  const wrap =
    <Args extends unknown[], T>(
      operation: keyof Platform,
      run: (...args: Args) => Promise<Either<PlatformFailure, T>>,
    ) =>
    async (...args: Args): Promise<Either<PlatformFailure, T>> => {
      const fault = await chooseFault({ operation, key: String(args[0]) });
      if (fault === CallFault.Refused) return Left(buildNotDone('refused by the test'));
      if (fault === CallFault.LostBefore) return Left(buildUnknown('lost by the test'));
      const result = await run(...args);
      return fault === CallFault.LostAfter ? Left(buildUnknown('lost by the test')) : result;
    };
  return {
    get: wrap('get', platform.get),
    createIfAbsent: wrap('createIfAbsent', platform.createIfAbsent),
    compareAndSwap: wrap('compareAndSwap', platform.compareAndSwap),
    remove: wrap('remove', platform.remove),
    grantLease: wrap('grantLease', platform.grantLease),
    renewLease: wrap('renewLease', platform.renewLease),
    revokeLease: wrap('revokeLease', platform.revokeLease),
    watch: wrap('watch', platform.watch),
    close: platform.close,
  };
}
