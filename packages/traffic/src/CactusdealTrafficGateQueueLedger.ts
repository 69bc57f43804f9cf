import type { Clock } from '@cactusdeal/shared';
import {
  Account,
  compareUrgency,
  compareWorth,
  type WaitingCall,
} from './CactusdealTrafficGateQueueAccount.js';

/** Accounts of classes unseen for this long are dropped. */
const FORGET_MS = 600_000;
/** Part of a class's patience that it may spend waiting for a borrowed slot to come back. */
const HEADROOM_PATIENCE = 1 / 4;

/** The classes of one gate: which is served next, which is shed first. Linear in classes. */
export class Ledger {
  private readonly accounts = new Map<string, Account>();

  public constructor(private readonly clock: Clock) {}

  public getAll(): Iterable<Account> {
    return this.accounts.values();
  }

  public getAccount(className: string): Account {
    const known = this.accounts.get(className);
    if (known !== undefined) return known;
    this.forgetUnseen();
    const account = new Account(className, this.clock());
    this.accounts.set(className, account);
    return account;
  }

  private forgetUnseen(): void {
    const beforeMs = this.clock() - FORGET_MS;
    [...this.accounts.values()]
      .filter((account) => account.inUse === 0 && account.queued === 0)
      .filter((account) => account.lastArrivalAtMs < beforeMs)
      .forEach((account) => this.accounts.delete(account.className));
  }

  /** Brings every account up to now and divides the slots; shares that exceed 1 are scaled down. */
  public update(slots: number): void {
    const nowMs = this.clock();
    const scale = this.computeShareScale();
    this.accounts.forEach((account) => {
      account.update(nowMs);
      account.setGuaranteed(account.share * scale * slots);
    });
  }

  /** The waiting call that is due next: of a class below its guarantee first, then the most urgent. */
  public findNext(freeSlots: number, slots: number): WaitingCall | undefined {
    let next: WaitingCall | undefined;
    let isNextEntitled = false;
    this.accounts.forEach((account) => {
      const call = account.peekMostUrgent();
      if (call === undefined) return;
      const isEntitled = account.isEntitled();
      if (next !== undefined && isEntitled === isNextEntitled) {
        if (compareUrgency(call, next) >= 0) return;
      } else if (isNextEntitled) return;
      next = call;
      isNextEntitled = isEntitled;
    });
    if (next === undefined || isNextEntitled) return next;
    const isLastFree = freeSlots === 1 && slots > 1;
    return isLastFree && this.shouldKeepHeadroom(next.account) ? undefined : next;
  }

  /**
   * Whether the last free slot is kept from a borrower: were it lent, a class below its guarantee
   * could expect to wait for the next release longer than its calls' deadlines bear.
   */
  private shouldKeepHeadroom(borrower: Account): boolean {
    const releasesPerMs = this.computeReleasesPerMs(borrower);
    return [...this.accounts.values()].some((account) => {
      if (account === borrower || account.inUse + 1 > account.guaranteed) return false;
      return releasesPerMs * account.patienceMs * HEADROOM_PATIENCE < 1;
    });
  }

  private computeReleasesPerMs(borrower: Account): number {
    let releasesPerMs = 1 / Math.max(1, borrower.serviceMs);
    this.accounts.forEach((account) => {
      releasesPerMs += account.inUse / Math.max(1, account.serviceMs);
    });
    return releasesPerMs;
  }

  /** The call to shed from a full queue: of lowest worth, in a class above its part of the queue. */
  public findVictim(queueLimit: number): WaitingCall | undefined {
    const scale = this.computeShareScale();
    let victim: WaitingCall | undefined;
    this.accounts.forEach((account) => {
      const call = account.peekLeastWorth();
      if (call === undefined) return;
      if (account.queued <= Math.floor(account.share * scale * queueLimit)) return;
      if (victim === undefined || compareWorth(call, victim) < 0) victim = call;
    });
    return victim;
  }

  private computeShareScale(): number {
    let total = 0;
    this.accounts.forEach((account) => {
      total += account.share;
    });
    return 1 / Math.max(1, total);
  }
}
