import { FailureError } from '@cactusdeal/shared';
import { createMeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import type { MeshMessage } from './CactusdealMeshMessages.js';

/** The message with the given type. */
export type MessageOf<Type extends MeshMessage['type']> = Extract<MeshMessage, { type: Type }>;

/** Dispatches messages to the handler registered for their type. */
export interface Router<Source> {
  handle<Type extends MeshMessage['type']>(
    type: Type,
    handler: (source: Source, message: MessageOf<Type>) => void,
  ): void;
  /** Throws FailureError of kind MessageUnknown when no handler is registered for the type. */
  dispatch(source: Source, message: MeshMessage): void;
}

/** Creates a router without handlers. */
export function createRouter<Source>(): Router<Source> {
  const handlers = new Map<string, (source: Source, message: never) => void>();
  return {
    handle: (type, handler) => handlers.set(type, handler),
    dispatch: (source, message) => {
      const handler = handlers.get(message.type);
      if (handler !== undefined) {
        handler(source, message as never);
        return;
      }
      const text = `message type ${message.type} is not allowed on a connection of this purpose`;
      throw new FailureError(createMeshFailure(MeshFailureKind.MessageUnknown, text));
    },
  };
}
