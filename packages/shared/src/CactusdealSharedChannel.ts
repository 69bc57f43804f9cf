import { EventEmitter } from 'node:events';
import { fromEvent, type Stream } from 'most';

const EVENT = 'value';

/** Publishes values to listeners and as a `most` stream. Subscribers miss values pushed earlier. */
export interface Channel<T> {
  readonly stream: Stream<T>;
  push(value: T): void;
  /** Registers a listener directly, without a stream; returns the function that removes it. */
  observe(listener: (value: T) => void): () => void;
  /** Removes all listeners, so that streams get no further values. */
  close(): void;
}

/** Creates a channel. Values are delivered in the order in which they are pushed. */
export function createChannel<T>(): Channel<T> {
  const emitter = new EventEmitter();
  emitter.setMaxListeners(0);
  return {
    stream: fromEvent<T>(EVENT, emitter),
    push: (value) => {
      emitter.emit(EVENT, value);
    },
    observe: (listener) => {
      emitter.on(EVENT, listener);
      return () => emitter.off(EVENT, listener);
    },
    close: () => {
      emitter.removeAllListeners();
    },
  };
}
