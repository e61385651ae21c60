/** `reedlug soak`: real boxes as processes under load, with faults injected from outside. */
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Command, Option } from 'clipanion';
import {
  describeStreams,
  drawPartLoad,
  drawProcessorShare,
  drawStreamLoad,
  planLeavingFaults,
  planStopsInTurn,
  planVersionLosses,
  runSoak,
  type SoakOptions,
  type SoakResult,
} from 'reedlug-soak';
import { parseSeedRange } from './seedRange.js';

const MS_PER_SECOND = 1000;
/** Groups of requests that a caller on a kept connection sends a second. */
const GROUPS_PER_SECOND = 1;
/** Exit code after a signal, as shells report it for SIGTERM. */
const EXIT_SIGNALLED = 143;

/** Exits with 0 if no guarantee was violated. */
export class SoakCommand extends Command {
  static override paths = [['soak']];
  static override usage = Command.Usage({
    description: 'Run boxes as processes under load and faults, and check every guarantee',
    details: 'Logs and settings of a run that violated a guarantee are kept in OUT/soak-SEED.',
    examples: [
      ['Fifty seeds', 'reedlug soak --seeds 1-50'],
      ['A larger fleet', 'reedlug soak --seeds 7 --boxes 24 --seconds 60'],
    ],
  });

  seeds = Option.String('--seeds', '1-5', { description: 'One seed, or a range such as 1-50' });
  seconds = Option.String('--seconds', '20', { description: 'Length of a run in seconds' });
  boxes = Option.String('--boxes', '4', {
    description: 'Number of boxes, each in its own process',
  });
  zones = Option.String('--zones', '2', {
    description:
      'Number of availability zones; with more than two, zones lose their links to the servers',
  });
  rate = Option.String('--rate', '60', { description: 'Calls per second over all boxes' });
  streams = Option.String('--streams', '0', {
    description:
      'Streams per second that callers take up, at servers of several software versions; 0 for none',
  });
  losses = Option.Boolean('--losses', false, {
    description:
      'With --streams: no other faults than losses of all boxes while software versions change',
  });
  stops = Option.String('--stops', '0', {
    description:
      'Callers on kept connections, with no other faults than planned stops of all boxes one after another; 0 for none',
  });
  leaving = Option.String('--leaving', '0', {
    description:
      'Share of the callers that leave without an answer, with no other faults than pauses, stops and kills of boxes; 0 for none',
  });
  parts = Option.String('--parts', '0', {
    description:
      'Streams per second with prompt parts, one of which crashes servers in most runs; 0 for none',
  });
  spoiled = Option.String('--spoiled', '0', {
    description:
      'Share of what boxes receive from servers, the store and each other that is spoiled, without other faults; 0 for none',
  });
  servers = Option.String('--servers', '3', { description: 'Number of servers of each service' });
  out = Option.String('--out', join(tmpdir(), 'reedlug-soak'), {
    description: 'Folder for logs of runs that failed',
  });

  override async execute(): Promise<number> {
    const seeds = parseSeedRange(this.seeds);
    const texts = [
      this.seconds,
      this.boxes,
      this.zones,
      this.rate,
      this.streams,
      this.servers,
      this.parts,
      this.spoiled,
      this.stops,
      this.leaving,
    ];
    const [
      seconds = 0,
      boxes = 0,
      zones = 0,
      rate = 0,
      streams = 0,
      servers = 0,
      parts = 0,
      spoiled = 0,
      stops = 0,
      leaving = 0,
    ] = texts.map(Number);
    const isPositive = seconds > 0 && boxes >= 1 && zones >= 1 && rate > 0 && servers >= 1;
    const areUsable =
      isPositive && streams >= 0 && parts >= 0 && spoiled >= 0 && stops >= 0 && leaving >= 0;
    if (seeds === undefined || !areUsable) {
      this.context.stderr.write(
        '--seeds must be like 1-50; --seconds, --boxes, --zones, --servers and --rate must be positive numbers\n',
      );
      return 1;
    }
    // Without a handler, the signal would end this process before it can stop the box processes.
    for (const name of ['SIGTERM', 'SIGINT'] as const) {
      process.once(name, () => process.exit(EXIT_SIGNALLED));
    }
    let broken = 0;
    for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
      const lengthMs = seconds * MS_PER_SECOND;
      const result = await runSoak({
        seed,
        lengthMs,
        boxes,
        zones,
        serversPerService: servers,
        callsPerSecond: rate,
        ...(streams > 0 ? { streams: drawStreamLoad(seed, streams) } : {}),
        ...(this.losses ? { faults: planVersionLosses({ seed, lengthMs }) } : {}),
        ...(stops > 0 ? stopsOf({ seed, lengthMs, boxes, callers: stops }) : {}),
        ...(leaving > 0 ? leavingOf({ seed, lengthMs, boxes, share: leaving }) : {}),
        ...(parts > 0 ? { parts: drawPartLoad(seed, parts) } : {}),
        ...(spoiled > 0 ? { spoiledShare: spoiled } : {}),
        folder: join(this.out, `soak-${seed}`),
      });
      this.report(result);
      if (result.violations.length > 0) broken += 1;
    }
    this.context.stdout.write(`seeds=${seeds.last - seeds.first + 1} broken=${broken}\n`);
    return broken === 0 ? 0 : 1;
  }

  private report(result: SoakResult): void {
    const { seed, calls, limitedServed, statuses, faults, violations, record } = result;
    const pairs = (counts: Record<string, number>): string =>
      Object.entries(counts)
        .sort(([a], [b]) => a.localeCompare(b))
        .map(([name, count]) => `${name}=${count}`)
        .join(' ');
    const head = `seed=${seed} calls=${calls} limitedServed=${limitedServed} violations=${violations.length}`;
    const streams = record.streams.length === 0 ? '' : ` ${describeStreams(record)}`;
    this.context.stdout.write(
      `${head}${streams} statuses: ${pairs(statuses)} faults: ${pairs(faults)}\n`,
    );
    for (const { promise, detail } of violations) {
      this.context.stdout.write(`  ${promise}: ${detail}\n`);
    }
  }
}

/** Returns what makes a run one of planned stops. */
function stopsOf(params: {
  seed: number;
  lengthMs: number;
  boxes: number;
  callers: number;
}): Pick<SoakOptions, 'stopLoad' | 'faults'> {
  const { callers, ...plan } = params;
  return {
    stopLoad: { callers, perSecond: GROUPS_PER_SECOND },
    faults: planStopsInTurn(plan),
  };
}

/** Returns what makes a run one of callers that leave. */
function leavingOf(params: {
  seed: number;
  lengthMs: number;
  boxes: number;
  share: number;
}): Pick<SoakOptions, 'leaving' | 'processorShare' | 'faults'> {
  const { share, ...plan } = params;
  const processorShare = drawProcessorShare(plan.seed);
  return {
    leaving: { share },
    ...(processorShare === undefined ? {} : { processorShare }),
    faults: planLeavingFaults(plan),
  };
}
