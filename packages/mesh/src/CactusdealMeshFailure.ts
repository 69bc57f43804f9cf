import type { Failure } from '@cactusdeal/shared';

/** Why a connection between two daemons was not made, or was closed. */
export const MeshFailureKind = {
  /** The peer's socket could not be reached, or ended. */
  Unreachable: 'PeerUnreachable',
  /** No hello came in time. */
  HandshakeTimeout: 'HandshakeTimeout',
  /** A frame longer than the limit was announced. */
  FrameOversized: 'FrameOversized',
  /** A frame that does not decode, or whose message breaks the schema. */
  FrameMalformed: 'FrameMalformed',
  /** A message of a type that this protocol version does not have, or not at this point. */
  MessageUnknown: 'MessageUnknown',
  ProtocolMismatch: 'ProtocolMismatch',
  ClusterMismatch: 'ClusterMismatch',
  DataCentreMismatch: 'DataCentreMismatch',
  /** The peer calls itself by the receiver's own name. */
  IdentityConflict: 'IdentityConflict',
  /** The peer accepts no further connection now; its refusal names others to try. */
  Busy: 'PeerBusy',
  /** The peer is no reader candidate; its refusal names those that are. */
  NotReader: 'NotReader',
  /** A message that is well formed made this daemon fail; the connection is given up. */
  Defect: 'HandlerDefect',
  /** Nothing arrived for several heartbeats. */
  Silent: 'PeerSilent',
  /** The connection is no longer needed. */
  Replaced: 'ConnectionReplaced',
  /** The peer leaves. */
  Left: 'PeerLeft',
} as const;
export type MeshFailureKind = (typeof MeshFailureKind)[keyof typeof MeshFailureKind];

/** A connection failure, with the addresses that a refusing peer named. */
export interface MeshFailure extends Failure<MeshFailureKind> {
  readonly contacts?: readonly string[];
}

/** Builds a mesh failure. */
export function createMeshFailure(
  kind: MeshFailureKind,
  message: string,
  contacts: readonly string[] = [],
): MeshFailure {
  return { kind, message, contacts };
}
