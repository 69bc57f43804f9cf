import { createByteCollector, FailureError } from '@cactusdeal/shared';
import { Encoder } from 'cbor-x';
import { createMeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';

/** Bytes of the big-endian length prefix of a frame. */
export const FRAME_HEADER_BYTES = 4;
/** Most bytes of a frame's body. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

const codec = new Encoder({ useRecords: false, variableMapSize: true });

/** Encodes a value as one frame: a 4-byte big-endian length and the CBOR body. */
export function encodeFrame(value: unknown): Buffer {
  const body = codec.encode(value);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

/**
 * Splits a byte stream into decoded frames.
 *
 * @throws FailureError of kind FrameOversized or FrameMalformed.
 */
export async function* readFrames(
  source: AsyncIterable<Buffer>,
  maxFrameBytes: number = MAX_FRAME_BYTES,
): AsyncGenerator<unknown, void, undefined> {
  const pending = createByteCollector({ maxBytes: Infinity });
  let wantedBytes = FRAME_HEADER_BYTES;
  for await (const chunk of source) {
    pending.add(chunk);
    if (pending.countBytes() < wantedBytes) continue;
    let buffer = pending.take();
    while (buffer.length >= FRAME_HEADER_BYTES) {
      const frameBytes = FRAME_HEADER_BYTES + checkLength(buffer.readUInt32BE(0), maxFrameBytes);
      wantedBytes = frameBytes;
      if (buffer.length < frameBytes) break;
      yield decodeBody(buffer.subarray(FRAME_HEADER_BYTES, frameBytes));
      buffer = buffer.subarray(frameBytes);
      wantedBytes = FRAME_HEADER_BYTES;
    }
    if (buffer.length > 0) pending.add(buffer);
  }
}

function checkLength(bodyBytes: number, maxFrameBytes: number): number {
  if (bodyBytes <= maxFrameBytes) return bodyBytes;
  const message = `frame of ${bodyBytes} bytes exceeds the limit of ${maxFrameBytes} bytes`;
  throw new FailureError(createMeshFailure(MeshFailureKind.FrameOversized, message));
}

function decodeBody(body: Buffer): unknown {
  try {
    return codec.decode(body);
  } catch (caught) {
    const message = `frame of ${body.length} bytes is not valid CBOR: ${String(caught)}`;
    throw new FailureError(createMeshFailure(MeshFailureKind.FrameMalformed, message));
  }
}
