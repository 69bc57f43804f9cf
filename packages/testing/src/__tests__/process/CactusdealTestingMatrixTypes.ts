import type { CallResult, Cluster, Host, Ledger, VersionWatch } from '../../index.js';

/** What a cell works with. */
export interface CellContext {
  readonly cluster: Cluster;
  readonly ledger: Ledger;
  readonly watch: VersionWatch;
  /** Distinguishes the requests of this cell from those of others. */
  readonly label: string;
  /** Plays the step; in the first data centre and not its reader. */
  readonly actor: Host;
  /** In the other data centre; what the step needs beside the actor. */
  readonly other: Host;
  /** Reader of the first data centre when the cell began. */
  readonly reader: Host;
  createId(): string;
}

/** One thing that fails. */
export interface MatrixFault {
  readonly name: string;
  /** Strikes once the step has begun, where the step can tell; else before it. */
  readonly isInjectedDuringStep: boolean;
  /** Calls in flight at the step have to end with a whole answer all the same. */
  readonly mustCompleteCalls: boolean;
  inject(context: CellContext): Promise<void>;
  /** Ends it and checks what only this fault can break. */
  heal(context: CellContext): Promise<void>;
}

/** What a step brought back. */
export interface StepResult {
  readonly call?: CallResult;
  readonly planId?: string;
  /** Versions that confirmations of the plan answered. */
  readonly acceptedVersions?: readonly number[];
  readonly badVersion?: number;
  readonly exitCode?: number | null;
  readonly idempotencyKey?: string;
}

/** One thing that the system does while something fails. */
export interface MatrixStep {
  readonly name: string;
  /** Readies what the step needs; runs before the fault. */
  prepare?(context: CellContext, fault: MatrixFault): Promise<void>;
  /** Whether the step is under way; without it every fault strikes before the step. */
  hasStarted?(context: CellContext): Promise<boolean>;
  /** Runs the step; refusals and lost connections are results, no errors. */
  run(context: CellContext): Promise<StepResult>;
  /** Runs between the fault's start and the step's end. */
  unblock?(context: CellContext): Promise<void>;
  /** Checks the outcome after the fault ended and all processes are back. */
  checkResult(context: CellContext, result: StepResult, fault: MatrixFault): Promise<void>;
}
