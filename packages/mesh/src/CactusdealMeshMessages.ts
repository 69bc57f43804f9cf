import {
  createValidator,
  type BucketHashesMessage,
  type BucketMembersMessage,
  type DigestMessage,
  type EntriesMessage,
  type GossipMessage,
  type GraftMessage,
  type HeartbeatMessage,
  type HelloMessage,
  type IHaveMessage,
  type ProbeMessage,
  type ProbeAnswerMessage,
  type PruneMessage,
  type RecordsMessage,
  type RefusalMessage,
  type SnapshotMessage,
  type SurveyMessage,
  type SurveyAnswerMessage,
  type Validator,
} from '@cactusdeal/schema';
import { FailureError } from '@cactusdeal/shared';
import { createMeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';

/** Version of the protocol between daemons. */
export const PROTOCOL_VERSION = 1;

/** Every message that travels between two daemons. */
export type MeshMessage =
  | BucketHashesMessage
  | BucketMembersMessage
  | DigestMessage
  | EntriesMessage
  | GossipMessage
  | GraftMessage
  | HeartbeatMessage
  | HelloMessage
  | IHaveMessage
  | ProbeMessage
  | ProbeAnswerMessage
  | PruneMessage
  | RecordsMessage
  | RefusalMessage
  | SnapshotMessage
  | SurveyMessage
  | SurveyAnswerMessage;

const VALIDATORS: ReadonlyMap<string, Validator<MeshMessage>> = new Map([
  ['bucket-hashes', createMessageValidator('BucketHashesMessage')],
  ['bucket-members', createMessageValidator('BucketMembersMessage')],
  ['digest', createMessageValidator('DigestMessage')],
  ['entries', createMessageValidator('EntriesMessage')],
  ['gossip', createMessageValidator('GossipMessage')],
  ['graft', createMessageValidator('GraftMessage')],
  ['heartbeat', createMessageValidator('HeartbeatMessage')],
  ['hello', createMessageValidator('HelloMessage')],
  ['ihave', createMessageValidator('IHaveMessage')],
  ['probe', createMessageValidator('ProbeMessage')],
  ['probe-answer', createMessageValidator('ProbeAnswerMessage')],
  ['prune', createMessageValidator('PruneMessage')],
  ['records', createMessageValidator('RecordsMessage')],
  ['refusal', createMessageValidator('RefusalMessage')],
  ['snapshot', createMessageValidator('SnapshotMessage')],
  ['survey', createMessageValidator('SurveyMessage')],
  ['survey-answer', createMessageValidator('SurveyAnswerMessage')],
]);

/**
 * Checks that a decoded frame is a message of this protocol.
 *
 * @throws FailureError of kind MessageUnknown or FrameMalformed.
 */
export function parseMessage(value: unknown): MeshMessage {
  const type = (value as { type?: unknown } | undefined | null)?.type;
  const validate = typeof type === 'string' ? VALIDATORS.get(type) : undefined;
  if (validate === undefined) {
    const message = `message of unknown type ${String(type).slice(0, 40)}`;
    throw new FailureError(createMeshFailure(MeshFailureKind.MessageUnknown, message));
  }
  return validate(value).caseOf({
    Right: (message) => message,
    Left: (failure) => {
      const message = `${type}: ${failure.message}`;
      throw new FailureError(createMeshFailure(MeshFailureKind.FrameMalformed, message));
    },
  });
}

function createMessageValidator(definition: string): Validator<MeshMessage> {
  return createValidator<MeshMessage>(`messages#/definitions/${definition}`);
}
