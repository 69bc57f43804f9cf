import {
  createValidator,
  type BucketHashesMessage,
  type BucketItemsMessage,
  type DigestMessage,
  type EntriesMessage,
  type GossipMessage,
  type GraftMessage,
  type HeartbeatMessage,
  type HelloMessage,
  type IHaveMessage,
  type ItemsMessage,
  type LinkDigestMessage,
  type ProbeMessage,
  type ProbeAnswerMessage,
  type PruneMessage,
  type PullMessage,
  type RefusalMessage,
  type SnapshotMessage,
  type SummariesMessage,
  type SurveyDeclineMessage,
  type SurveyMessage,
  type SurveyAnswerMessage,
  type Validator,
} from '@cactusdeal/schema';
import { FailureError } from '@cactusdeal/shared';
import { createMeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';

/** Version of the mesh protocol. */
export const PROTOCOL_VERSION = 1;

/** Any message of the mesh protocol. */
export type MeshMessage =
  | BucketHashesMessage
  | BucketItemsMessage
  | DigestMessage
  | EntriesMessage
  | GossipMessage
  | GraftMessage
  | HeartbeatMessage
  | HelloMessage
  | IHaveMessage
  | ItemsMessage
  | LinkDigestMessage
  | ProbeMessage
  | ProbeAnswerMessage
  | PruneMessage
  | PullMessage
  | RefusalMessage
  | SnapshotMessage
  | SummariesMessage
  | SurveyMessage
  | SurveyDeclineMessage
  | SurveyAnswerMessage;

const VALIDATORS: ReadonlyMap<string, Validator<MeshMessage>> = new Map([
  ['bucket-hashes', createMessageValidator('BucketHashesMessage')],
  ['bucket-items', createMessageValidator('BucketItemsMessage')],
  ['digest', createMessageValidator('DigestMessage')],
  ['entries', createMessageValidator('EntriesMessage')],
  ['gossip', createMessageValidator('GossipMessage')],
  ['graft', createMessageValidator('GraftMessage')],
  ['heartbeat', createMessageValidator('HeartbeatMessage')],
  ['hello', createMessageValidator('HelloMessage')],
  ['ihave', createMessageValidator('IHaveMessage')],
  ['items', createMessageValidator('ItemsMessage')],
  ['link-digest', createMessageValidator('LinkDigestMessage')],
  ['probe', createMessageValidator('ProbeMessage')],
  ['probe-answer', createMessageValidator('ProbeAnswerMessage')],
  ['prune', createMessageValidator('PruneMessage')],
  ['pull', createMessageValidator('PullMessage')],
  ['refusal', createMessageValidator('RefusalMessage')],
  ['snapshot', createMessageValidator('SnapshotMessage')],
  ['summaries', createMessageValidator('SummariesMessage')],
  ['survey', createMessageValidator('SurveyMessage')],
  ['survey-decline', createMessageValidator('SurveyDeclineMessage')],
  ['survey-answer', createMessageValidator('SurveyAnswerMessage')],
]);

/**
 * Validates a decoded frame as a message of this protocol version.
 *
 * @throws FailureError of kind MessageUnknown or FrameMalformed.
 */
export function parseMessage(value: unknown): MeshMessage {
  const type = (value as { type?: unknown } | undefined | null)?.type;
  const validate = typeof type === 'string' ? VALIDATORS.get(type) : undefined;
  if (validate === undefined) {
    const message = `unknown message type ${String(type).slice(0, 40)} in protocol ${PROTOCOL_VERSION}`;
    throw new FailureError(createMeshFailure(MeshFailureKind.MessageUnknown, message));
  }
  return checkValue(validate, value);
}

/**
 * Validates a value that is a part of a message.
 *
 * @throws FailureError of kind FrameMalformed.
 */
export function checkValue<T>(validate: Validator<T>, value: unknown): T {
  return validate(value).caseOf({
    Right: (checked) => checked,
    Left: (failure) => {
      throw new FailureError(createMeshFailure(MeshFailureKind.FrameMalformed, failure.message));
    },
  });
}

function createMessageValidator(definition: string): Validator<MeshMessage> {
  return createValidator<MeshMessage>(`messages#/definitions/${definition}`);
}
