import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { explainCall, formatExplanation } from '../../CactusdealClientExplain.js';
import { type LogEvent, parseLogLine } from '../../CactusdealClientLogLines.js';

const formatTime = (ms: number): string => `time=${new Date(1_800_000_000_000 + ms).toISOString()}`;

interface ExplanationCase {
  readonly name: string;
  readonly lines: readonly string[];
  readonly verdict: RegExp;
  /** Index of the line without which another verdict comes out. */
  readonly deciding: number;
}

const explanationCases: readonly ExplanationCase[] = [
  {
    name: 'refused as all slots of the upstream were in use',
    lines: [
      `${formatTime(0)} level=info event=gate-refused daemon=d2 call=c1 reason=busy state=ready capacity=4 running=4 waiting=9 serviceMs=90 targetMs=300 waitedMs=0`,
      `${formatTime(1)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 gateLoad=3 gateAgeMs=700 outcome=not-run reason=busy totalMs=4 targetMs=300`,
      `${formatTime(2)} level=info event=call-refused daemon=d1 call=c1 status=503 reason=busy version=7`,
    ],
    verdict: /not run: all slots of the upstream were in use \(4 of 4 running, 9 queued\)/,
    deciding: 0,
  },
  {
    name: 'refused for too short a deadline, though slots were free',
    lines: [
      `${formatTime(0)} level=info event=gate-refused daemon=d2 call=c1 reason=busy state=ready capacity=4 running=1 waiting=0 serviceMs=90 targetMs=20 waitedMs=0`,
      `${formatTime(2)} level=info event=call-refused daemon=d1 call=c1 status=503 reason=busy version=7`,
    ],
    verdict: /not run: 20 ms were left, but the estimated service time was 90 ms/,
    deciding: 0,
  },
  {
    name: 'refused as its upstream was draining',
    lines: [
      `${formatTime(-500)} level=info event=upstream-changed daemon=d2 upstream=u2 service=records state=draining`,
      `${formatTime(0)} level=info event=gate-refused daemon=d2 call=c1 reason=closed state=draining`,
      `${formatTime(1)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 outcome=not-run reason=closed totalMs=1 targetMs=300`,
      `${formatTime(2)} level=info event=call-refused daemon=d1 call=c1 status=503 reason=closed version=7`,
    ],
    verdict: /not run: the upstream was draining/,
    deciding: 0,
  },
  {
    name: 'refused as it reached the gate late',
    lines: [
      `${formatTime(0)} level=info event=call-late daemon=d2 call=c1 linkMs=612 remainingMs=140`,
      `${formatTime(1)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 outcome=not-run reason=unconfirmed totalMs=870 targetMs=300`,
      `${formatTime(2)} level=info event=call-refused daemon=d1 call=c1 status=503 reason=unconfirmed version=7`,
    ],
    verdict: /not run: it reached the gate 612 ms late, and its entry did not confirm/,
    deciding: 0,
  },
  {
    name: 'answered 502 as the link was silent',
    lines: [
      `${formatTime(0)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 outcome=unknown reason=link-lost totalMs=930 targetMs=300`,
      `${formatTime(1)} level=info event=link-lost daemon=d1 peer=d2 reason="silent for 903 ms"`,
      `${formatTime(2)} level=info event=call-refused daemon=d1 call=c1 status=502 reason=link-lost version=7`,
    ],
    verdict: /502, may have run: the link to its gate was lost \(silent for 903 ms\)/,
    deciding: 1,
  },
  {
    name: 'answered 500 after a nested call was refused',
    lines: [
      `${formatTime(0)} level=info event=call-refused daemon=d2 call=c1.a status=503 reason=no-upstream version=7`,
      `${formatTime(9)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 outcome=answered reason=500 totalMs=41 targetMs=300`,
    ],
    verdict: /answered 500 by the upstream of d2 after 41 ms; a nested call was refused/,
    deciding: 0,
  },
  {
    name: 'answered by a service that the operator had removed',
    lines: [
      `${formatTime(-9_000)} level=info event=version-in-force daemon=d1 version=6 before=5 routes=3`,
      `${formatTime(-4_000)} level=warn event=platform-lost daemon=d1 kind=PlatformUnknown message="no answer"`,
      `${formatTime(0)} level=debug event=attempt-ended daemon=d1 call=c1 service=old gate=d2 outcome=answered reason=200 totalMs=41 targetMs=300`,
    ],
    verdict: /answered 200 by the upstream of d2 after 41 ms/,
    deciding: 2,
  },
];

function parseLogLines(lines: readonly string[]): readonly LogEvent[] {
  return lines.map(parseLogLine).filter((event) => event !== undefined);
}

describe('explainCall', () => {
  explanationCases.forEach(({ name, lines, verdict, deciding }) => {
    it(`finds that the call was ${name}`, () => {
      assert.match(explainCall(parseLogLines(lines), 'c1')?.verdict ?? '', verdict);
    });

    it(`does not find that the call was ${name} without the deciding line`, () => {
      const rest = lines.filter((_, index) => index !== deciding);
      assert.doesNotMatch(explainCall(parseLogLines(rest), 'c1')?.verdict ?? '', verdict);
    });
  });

  it('lists the version in force and the loss of the platform before the call', () => {
    const { lines } = explanationCases.at(-1) as ExplanationCase;
    const explanation = explainCall(parseLogLines(lines), 'c1');
    const contextEvents = explanation?.beliefs.map(({ event }) => event);
    assert.deepEqual(contextEvents, ['version-in-force', 'platform-lost']);
    assert.ok(explanation !== undefined && formatExplanation(explanation).includes('version=6'));
  });

  it('returns undefined for a call that no line names', () => {
    assert.equal(explainCall(parseLogLines(explanationCases[0]?.lines ?? []), 'c2'), undefined);
  });
});

const logLineCases: readonly [name: string, line: string, event: string | undefined][] = [
  [
    'a line with the prefix of a log collector',
    `  21.1 host ${formatTime(0)} level=info event=started daemon=d1`,
    'started',
  ],
  [
    'a quoted value',
    `${formatTime(0)} level=warn event=odd daemon=d1 message="a \\"b\\" c"`,
    'odd',
  ],
  [
    'a line truncated inside a quoted value',
    `${formatTime(0)} level=warn event=odd message="a b`,
    'odd',
  ],
  ['a line of another program', 'listening on port 1', undefined],
  ['a line without a time', 'level=info event=started', undefined],
];

describe('parseLogLine', () => {
  logLineCases.forEach(([name, line, event]) => {
    it(`${event === undefined ? 'skips' : 'parses'} ${name}`, () => {
      assert.equal(parseLogLine(line)?.event, event);
    });
  });
});
