import { EventEmitter } from 'node:events';
import { fromEvent, type Stream } from 'most';

const EVENT = 'value';

/** A push source with a `most` stream of what was pushed; late subscribers see only later values. */
export interface Channel<T> {
  readonly stream: Stream<T>;
  push(value: T): void;
  /** Registers a listener without the stream machinery; returns the function that removes it. */
  observe(listener: (value: T) => void): () => void;
  close(): void;
}

/** Creates a channel. Values are delivered in the order in which they were pushed. */
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
