import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { explainCall, formatExplanation } from '../../CactusdealClientExplain.js';
import { type LogEvent, parseLogLine } from '../../CactusdealClientLogLines.js';

const at = (ms: number): string => `time=${new Date(1_800_000_000_000 + ms).toISOString()}`;

interface Case {
  readonly name: string;
  readonly lines: readonly string[];
  readonly verdict: RegExp;
  /** Index of the line that decides the verdict. */
  readonly deciding: number;
}

const cases: readonly Case[] = [
  {
    name: 'refused as the upstream was full',
    lines: [
      `${at(0)} level=info event=gate-refused daemon=d2 call=c1 reason=busy state=ready capacity=4 running=4 waiting=9 serviceMs=90 targetMs=300 waitedMs=0`,
      `${at(1)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 gateLoad=3 gateAgeMs=700 outcome=not-run reason=busy totalMs=4 targetMs=300`,
      `${at(2)} level=info event=call-refused daemon=d1 call=c1 status=503 reason=busy version=7`,
    ],
    verdict: /not run: the upstream was full \(4 of 4 ran, 9 waited\)/,
    deciding: 0,
  },
  {
    name: 'refused though slots were free, as its time was short',
    lines: [
      `${at(0)} level=info event=gate-refused daemon=d2 call=c1 reason=busy state=ready capacity=4 running=1 waiting=0 serviceMs=90 targetMs=20 waitedMs=0`,
      `${at(2)} level=info event=call-refused daemon=d1 call=c1 status=503 reason=busy version=7`,
    ],
    verdict: /not run: 20 ms were left for a call that takes 90 ms/,
    deciding: 0,
  },
  {
    name: 'refused as its upstream was leaving',
    lines: [
      `${at(-500)} level=info event=upstream-changed daemon=d2 upstream=u2 service=records state=draining`,
      `${at(0)} level=info event=gate-refused daemon=d2 call=c1 reason=closed state=draining`,
      `${at(1)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 outcome=not-run reason=closed totalMs=1 targetMs=300`,
      `${at(2)} level=info event=call-refused daemon=d1 call=c1 status=503 reason=closed version=7`,
    ],
    verdict: /not run: the upstream was draining/,
    deciding: 0,
  },
  {
    name: 'not answered, as the link was silent',
    lines: [
      `${at(0)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 outcome=unknown reason=link-lost totalMs=930 targetMs=300`,
      `${at(1)} level=info event=link-lost daemon=d1 peer=d2 reason="silent for 903 ms"`,
      `${at(2)} level=info event=call-refused daemon=d1 call=c1 status=502 reason=link-lost version=7`,
    ],
    verdict: /502, may have run: the link to its gate was lost \(silent for 903 ms\)/,
    deciding: 1,
  },
  {
    name: 'failed by a call that its upstream made',
    lines: [
      `${at(0)} level=info event=call-refused daemon=d2 call=c1.a status=503 reason=no-upstream version=7`,
      `${at(9)} level=info event=attempt-ended daemon=d1 call=c1 gate=d2 outcome=answered reason=500 totalMs=41 targetMs=300`,
    ],
    verdict:
      /answered 500 by the upstream of d2, after a call that it made was not served, after 41 ms/,
    deciding: 0,
  },
  {
    name: 'run by a service that the operator had taken off',
    lines: [
      `${at(-9_000)} level=info event=version-in-force daemon=d1 version=6 before=5 routes=3`,
      `${at(-4_000)} level=warn event=platform-lost daemon=d1 kind=PlatformUnknown message="no answer"`,
      `${at(0)} level=debug event=attempt-ended daemon=d1 call=c1 service=old gate=d2 outcome=answered reason=200 totalMs=41 targetMs=300`,
    ],
    verdict: /answered 200 by the upstream of d2, after 41 ms/,
    deciding: 2,
  },
];

function parseAll(lines: readonly string[]): readonly LogEvent[] {
  return lines.map(parseLogLine).filter((event) => event !== undefined);
}

describe('explanation of a call', () => {
  cases.forEach(({ name, lines, verdict, deciding }) => {
    it(`tells that it was ${name}`, () => {
      assert.match(explainCall(parseAll(lines), 'c1')?.verdict ?? '', verdict);
    });

    it(`does not tell that it was ${name} without the deciding line`, () => {
      const rest = lines.filter((_, index) => index !== deciding);
      assert.doesNotMatch(explainCall(parseAll(rest), 'c1')?.verdict ?? '', verdict);
    });
  });

  it('shows by which version a call was led, and that newer ones could not be read', () => {
    const { lines } = cases.at(-1) as Case;
    const explanation = explainCall(parseAll(lines), 'c1');
    const believed = explanation?.beliefs.map(({ event }) => event);
    assert.deepEqual(believed, ['version-in-force', 'platform-lost']);
    assert.ok(explanation !== undefined && formatExplanation(explanation).includes('version=6'));
  });

  it('knows nothing of a call that no line names', () => {
    assert.equal(explainCall(parseAll(cases[0]?.lines ?? []), 'c2'), undefined);
  });
});

const lines: readonly [name: string, line: string, event: string | undefined][] = [
  [
    'a line after a collector’s words',
    `  21.1 host ${at(0)} level=info event=started daemon=d1`,
    'started',
  ],
  ['a quoted value', `${at(0)} level=warn event=odd daemon=d1 message="a \\"b\\" c"`, 'odd'],
  ['a line that is cut within a value', `${at(0)} level=warn event=odd message="a b`, 'odd'],
  ['another program’s line', 'listening on port 1', undefined],
  ['a line without a time', 'level=info event=started', undefined],
];

describe('line of a log', () => {
  lines.forEach(([name, line, event]) => {
    it(`is read from ${name}`, () => {
      assert.equal(parseLogLine(line)?.event, event);
    });
  });
});
