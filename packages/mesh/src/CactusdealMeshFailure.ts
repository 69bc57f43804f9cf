import type { Failure } from '@cactusdeal/shared';

/** Why a connection between two daemons could not be made, or was closed. */
export const MeshFailureKind = {
  /** Connecting to the peer failed, or the connection ended. */
  Unreachable: 'PeerUnreachable',
  /** The peer sent no hello before the timeout. */
  HandshakeTimeout: 'HandshakeTimeout',
  /** The length prefix of a frame exceeds the limit. */
  FrameOversized: 'FrameOversized',
  /** A frame is not valid CBOR, or its message violates the schema. */
  FrameMalformed: 'FrameMalformed',
  /** The message type is unknown to this protocol version, or not allowed on this connection. */
  MessageUnknown: 'MessageUnknown',
  ProtocolMismatch: 'ProtocolMismatch',
  ClusterMismatch: 'ClusterMismatch',
  DataCentreMismatch: 'DataCentreMismatch',
  /** The peer uses the receiver's own member id. */
  IdentityConflict: 'IdentityConflict',
  /** The peer accepts no more connections now; its refusal lists other members to try. */
  Busy: 'PeerBusy',
  /** The peer is not a reader candidate, and lists those that are, or it has enough links. */
  NotReader: 'NotReader',
  /** Handling a well-formed message threw an unexpected error; the connection is closed. */
  Defect: 'HandlerDefect',
  /** Nothing arrived for several heartbeats. */
  Silent: 'PeerSilent',
  /** The connection was replaced by one to the same or another member. */
  Replaced: 'ConnectionReplaced',
  /** The peer is leaving the mesh. */
  Left: 'PeerLeft',
} as const;
export type MeshFailureKind = (typeof MeshFailureKind)[keyof typeof MeshFailureKind];

/** A connection failure, with the addresses of other members that a refusal listed. */
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
