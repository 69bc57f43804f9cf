import type { CallResult, Cluster, Host, Ledger, VersionWatch } from '../../index.js';

/** Cluster, checks and hosts that the step and the fault of one cell use. */
export interface CellContext {
  readonly cluster: Cluster;
  readonly ledger: Ledger;
  readonly watch: VersionWatch;
  /** Prefix of the request ids of this cell, unique among the cells of a cluster. */
  readonly label: string;
  /** Host at which the step runs: in the first data centre, but not its reader. */
  readonly actor: Host;
  /** Host in the second data centre, through which most outcomes are checked. */
  readonly other: Host;
  /** Reader of the first data centre when the cell began. */
  readonly reader: Host;
  /** Creates a request id. */
  createId(): string;
}

/** A fault of the matrix. */
export interface MatrixFault {
  readonly name: string;
  /**
   * Injected after the step has started, if the step has `hasStarted`; otherwise before the step.
   */
  readonly isInjectedDuringStep: boolean;
  /** The step's call must get a complete response in spite of the fault. */
  readonly mustCompleteCalls: boolean;
  inject(context: CellContext): Promise<void>;
  /** Ends the fault and checks what only this fault can violate. */
  heal(context: CellContext): Promise<void>;
}

/** Result of a step, with the fields that its check needs. */
export interface StepResult {
  readonly call?: CallResult;
  readonly planId?: string;
  /** Versions that responses named as accepted. */
  readonly acceptedVersions?: readonly number[];
  /** Version that the step tried to write as a bad one; 0 when the platform did not respond. */
  readonly badVersion?: number;
  /** Exit code of the daemon that the step stopped. */
  readonly exitCode?: number | null;
  readonly idempotencyKey?: string;
}

/** An operation of the system during which a fault occurs. */
export interface MatrixStep {
  readonly name: string;
  /** Prepares the step; runs before the fault. */
  prepare?(context: CellContext, fault: MatrixFault): Promise<void>;
  /** Whether the step has started. Without it, every fault is injected before the step. */
  hasStarted?(context: CellContext): Promise<boolean>;
  /** Runs the step. Refusals and lost connections are results, not errors. */
  run(context: CellContext): Promise<StepResult>;
  /** Lets the step end after the fault was injected, as by releasing held responses. */
  unblock?(context: CellContext): Promise<void>;
  /** Checks the outcome after the fault was healed and all processes run again. */
  checkResult(context: CellContext, result: StepResult, fault: MatrixFault): Promise<void>;
}
