import type { Platform } from '@cactusdeal/platform';
import type { SlotHolder } from '@cactusdeal/schema';
import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import { createParser, encodeValue } from './CactusdealOperatorCodec.js';

/** Options of a slot lease. */
export interface SlotOptions {
  readonly platform: Platform;
  /** Keys of the slots; the task holds at most one of them. */
  readonly keys: readonly string[];
  readonly holder: SlotHolder;
  /** Time after which the lease expires unless it is renewed, in milliseconds. */
  readonly leaseMs: number;
  /** Monotonic clock in milliseconds that keeps running while the process is stopped. */
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  /** Whether to hold a slot now; a held slot is released when this turns false. */
  readonly isCandidate?: () => boolean;
}

/** A task that takes a slot by lease and renews the lease. */
export interface SlotLease {
  /**
   * Whether a slot is held, judged by this process's own clock. Advisory: two processes may both
   * see it as true, so it may only save duplicate work and must not guard correctness.
   */
  isHolding(): boolean;
  /** Key of the held slot; undefined when none is held. */
  getKey(): string | undefined;
  /** Stops the task and revokes the lease of a held slot. */
  close(): Promise<void>;
}

interface HeldSlot {
  readonly key: string;
  readonly leaseId: string;
  /** By `clock`, counted from the start of the last successful grant or renewal. */
  readonly expiresAtMs: number;
}

/** Turns of the task in each lease term, so that one failed renewal does not lose the slot. */
const RENEWALS_PER_LEASE_TERM = 3;

/** Parses the value of a slot's key. */
export const parseSlotHolder = createParser<SlotHolder>('configuration#/definitions/SlotHolder');

/**
 * Starts a task that reads one random slot each turn until it can take one, then renews the lease
 * of that slot. While `isCandidate` is false it makes no calls to the platform, except to release a
 * held slot.
 */
export function startSlotLease(options: SlotOptions): SlotLease {
  const { clock, leaseMs, log } = options;
  const random = options.random ?? Math.random;
  const closing = new AbortController();
  const signal = AbortSignal.any([options.signal, closing.signal]);
  let heldSlot: HeldSlot | undefined;
  const isHolding = () => heldSlot !== undefined && clock() < heldSlot.expiresAtMs;
  const task = runTask();
  return {
    isHolding,
    getKey: () => (isHolding() ? heldSlot?.key : undefined),
    close: async () => {
      closing.abort();
      await task;
    },
  };

  async function runTask(): Promise<void> {
    while (!signal.aborted) {
      await runTurn();
      const jitter = 0.5 + random() / 2;
      await waitMs((leaseMs / RENEWALS_PER_LEASE_TERM) * jitter, signal);
    }
    await releaseSlot();
  }

  async function runTurn(): Promise<void> {
    const isCandidate = options.isCandidate?.() ?? true;
    if (!isCandidate) await releaseSlot();
    else if (heldSlot === undefined) await tryTakeSlot();
    else await renewHeldSlot(heldSlot);
  }

  async function tryTakeSlot(): Promise<void> {
    heldSlot = await takeRandomSlot(options, random);
    if (heldSlot !== undefined) log.info('slot-taken', { key: heldSlot.key });
  }

  async function renewHeldSlot(current: HeldSlot): Promise<void> {
    const sentAtMs = clock();
    const renewed = await options.platform.renewLease(current.leaseId);
    const isStillHeld = renewed.orDefault(clock() < current.expiresAtMs);
    if (isStillHeld && renewed.isRight())
      heldSlot = { ...current, expiresAtMs: sentAtMs + leaseMs };
    if (isStillHeld) return;
    heldSlot = undefined;
    log.warn('slot-lost', { key: current.key });
  }

  async function releaseSlot(): Promise<void> {
    if (heldSlot === undefined) return;
    const { leaseId, key } = heldSlot;
    heldSlot = undefined;
    await options.platform.revokeLease(leaseId);
    log.info('slot-given-back', { key });
  }
}

/**
 * Picks a random slot and takes it when it is free. A slot that this member holds by a lost lease,
 * for example after a lost answer, is not taken over; it becomes free when that lease expires.
 */
async function takeRandomSlot(options: SlotOptions, random: Random): Promise<HeldSlot | undefined> {
  const { platform, keys, holder, leaseMs, clock } = options;
  const key = keys[Math.floor(random() * keys.length)];
  if (key === undefined) return undefined;
  const found = await platform.get(key);
  if (found.isLeft() || found.unsafeCoerce() !== undefined) return undefined;
  const sentAtMs = clock();
  const granted = await platform.grantLease(leaseMs);
  if (granted.isLeft()) return undefined;
  const { id } = granted.unsafeCoerce();
  const written = await platform.createIfAbsent(key, encodeValue(holder), id);
  const isWritten = written.map((outcome) => outcome.written).orDefault(false);
  if (isWritten) return { key, leaseId: id, expiresAtMs: sentAtMs + leaseMs };
  await platform.revokeLease(id);
  return undefined;
}

/** Reads the holders of the slots. Slots that are free, unreadable or not answered are left out. */
export async function readSlotHolders(
  platform: Platform,
  keys: readonly string[],
): Promise<SlotHolder[]> {
  const found = await Promise.all(keys.map((key) => platform.get(key)));
  return found.flatMap((result) => {
    const record = result.orDefault(undefined);
    return record === undefined
      ? []
      : parseSlotHolder(record.value)
          .map((holder) => [holder])
          .orDefault([]);
  });
}
