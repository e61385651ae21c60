/** `reedlug status` and `reedlug histograms`. */
import { Command } from 'clipanion';
import type { BoxStatus } from '../http/boxStatus.js';
import type { HistogramRow } from '../observe/histograms.js';
import { AdminCommand } from './adminClient.js';
import { formatTable } from './textTable.js';

/** Prints the boxes, servers, zones, revisions and queues as one box sees them. */
export class StatusCommand extends AdminCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show boxes, engines, zones, revisions and queues as one box sees them',
    examples: [['Ask a box', 'reedlug status --entry http://10.0.0.5:8080 --key $KEY']],
  });

  override async execute(): Promise<number> {
    const answer = await this.ask<BoxStatus>('GET', '/admin/status');
    if (answer === undefined) return 1;
    if (this.json) this.printJson(answer.value);
    else this.printLines(statusLines(answer.value));
    return 0;
  }
}

function statusLines(status: BoxStatus): string[] {
  const { box, zone, ready, revision, unsettledRequests, leaseFence } = status;
  return [
    `box ${box} in ${zone}: ${ready ? 'ready' : 'not ready'}, revision ${revision}, ` +
      `${unsettledRequests} requests in progress, lease ${leaseFence ?? 'not held'}`,
    '',
    ...formatTable(
      ['BOX', 'ZONE', 'STATE', 'REVISION'],
      status.boxes.map((item) => [item.id, item.zone, item.state, item.revision]),
    ),
    '',
    ...formatTable(
      ['ZONE', 'SITE', 'BOXES', 'ENGINES'],
      status.zones.map((item) => [item.name, item.site, item.liveBoxes, item.liveEngines]),
    ),
    '',
    ...formatTable(
      ['SERVER', 'KIND', 'ZONE', 'POOL', 'STATE', 'OPEN HERE', 'RUNNING'],
      status.servers.map((item) => [
        item.id,
        item.kind,
        item.zone,
        item.pool,
        item.state,
        item.openHere,
        item.running ?? '-',
      ]),
    ),
    '',
    ...formatTable(
      ['POOL', 'URGENT WAITING', 'PATIENT WAITING'],
      status.queues.map((item) => [item.pool, item.urgent, item.patient]),
    ),
  ];
}

/** Prints the latency histograms of one box. */
export class HistogramsCommand extends AdminCommand {
  static override paths = [['histograms']];
  static override usage = Command.Usage({
    description: 'Show latency histograms by workspace and class',
    examples: [['Ask a box', 'reedlug histograms --entry http://10.0.0.5:8080 --key $KEY']],
  });

  override async execute(): Promise<number> {
    const answer = await this.ask<HistogramRow[]>('GET', '/admin/histograms');
    if (answer === undefined) return 1;
    if (this.json) {
      this.printJson(answer.value);
      return 0;
    }
    const header = ['WORKSPACE', 'CLASS', 'MEASURE', 'COUNT', 'P50 MS', 'P95 MS', 'P99 MS'];
    const rows = answer.value.map((row) => [
      row.workspaceId,
      row.requestClass,
      row.measure,
      row.count,
      row.p50Ms,
      row.p95Ms,
      row.p99Ms,
    ]);
    this.printLines(formatTable(header, rows));
    return 0;
  }
}
