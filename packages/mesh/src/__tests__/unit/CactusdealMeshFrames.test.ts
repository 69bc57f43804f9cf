import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { encodeFrame, readFrames } from '../../CactusdealMeshFrame.js';
import {
  closeMeshes,
  countAlive,
  createHello,
  readAnswers,
  startMeshes,
  waitUntil,
} from './CactusdealMeshFixture.js';

const SEED = 41;

const HELLO = createHello('intruder');

const OVERSIZED = Buffer.from([0x7f, 0xff, 0xff, 0xff, 0]);
const MALFORMED = Buffer.from([0, 0, 0, 2, 0xff, 0xff]);

const CASES: readonly {
  readonly name: string;
  readonly bytes: Buffer;
  readonly refusal: string;
}[] = [
  { name: 'an oversized frame', bytes: OVERSIZED, refusal: 'FrameOversized' },
  { name: 'a frame that is not valid CBOR', bytes: MALFORMED, refusal: 'FrameMalformed' },
  {
    name: 'a hello that violates the schema',
    bytes: encodeFrame({ ...HELLO, incarnation: 'new' }),
    refusal: 'FrameMalformed',
  },
  {
    name: 'a message of unknown type',
    bytes: encodeFrame({ type: 'takeover' }),
    refusal: 'MessageUnknown',
  },
  {
    name: 'a message before the hello',
    bytes: encodeFrame({ type: 'heartbeat' }),
    refusal: 'MessageUnknown',
  },
  {
    name: 'a peer of another cluster',
    bytes: encodeFrame({ ...HELLO, cluster: 'other' }),
    refusal: 'ClusterMismatch',
  },
  {
    name: 'a peer of another data centre',
    bytes: encodeFrame({ ...HELLO, dataCentre: 'west' }),
    refusal: 'DataCentreMismatch',
  },
  {
    name: 'a link from the same data centre',
    bytes: encodeFrame({ ...HELLO, purpose: 'link' }),
    refusal: 'DataCentreMismatch',
  },
  {
    name: 'another protocol version',
    bytes: encodeFrame({ ...HELLO, protocol: 99 }),
    refusal: 'ProtocolMismatch',
  },
  {
    name: 'a peer with the same id',
    bytes: encodeFrame({ ...HELLO, id: 'm0' }),
    refusal: 'IdentityConflict',
  },
  {
    name: 'an unknown message after the hello',
    bytes: Buffer.concat([encodeFrame(HELLO), encodeFrame({ type: 'takeover' })]),
    refusal: 'MessageUnknown',
  },
  {
    name: 'a malformed record after the hello',
    bytes: Buffer.concat([
      encodeFrame(HELLO),
      encodeFrame({
        type: 'gossip',
        id: 'x',
        hops: 1,
        body: { kind: 'member', record: { id: 'x' } },
      }),
    ]),
    refusal: 'FrameMalformed',
  },
  {
    name: 'a link message on a connection between neighbours',
    bytes: Buffer.concat([encodeFrame(HELLO), encodeFrame({ type: 'pull', headVersion: 0 })]),
    refusal: 'MessageUnknown',
  },
];

describe('frames', () => {
  it('decode to the encoded values, however the bytes are split', async () => {
    const values = fc.array(fc.oneof(fc.string(), fc.integer(), fc.array(fc.string())));
    const cuts = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 });
    await fc.assert(
      fc.asyncProperty(values, cuts, async (sent, sizes) => {
        const received: unknown[] = [];
        for await (const value of readFrames(
          splitBytes(Buffer.concat(sent.map(encodeFrame)), sizes),
        )) {
          received.push(value);
        }
        assert.deepEqual(received, sent);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  CASES.forEach(({ name, bytes, refusal }) => {
    it(`refuses ${name} as ${refusal} and closes only that connection`, async () => {
      const meshes = await startMeshes(3);
      try {
        await waitUntil(
          () => meshes.every((mesh) => countAlive(mesh) === 3),
          'every daemon knows every other as alive',
        );
        const address = String(meshes[0]?.getSelf().meshAddress);
        const answers = await readAnswers(address, bytes);
        const last = answers.at(-1);
        assert.deepEqual([last?.type, last?.kind], ['refusal', refusal]);
        assert.equal(meshes[0]?.getCounters().degree, 2);
        assert.ok(meshes.every((mesh) => countAlive(mesh) === 3));
      } finally {
        await closeMeshes(meshes);
      }
    });
  });
});

async function* splitBytes(bytes: Buffer, sizes: readonly number[]): AsyncGenerator<Buffer> {
  let start = 0;
  for (let index = 0; start < bytes.length; index += 1) {
    const size = sizes[index % sizes.length] as number;
    yield bytes.subarray(start, start + size);
    start += size;
  }
}
