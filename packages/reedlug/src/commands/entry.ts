/** `reedlug entry`: the daemon of one entry box. */
import { createWriteStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import type { BoxEvent } from 'reedlug-decisions';
import { startEntryDaemon } from '../daemon/entryDaemon.js';
import { createCallerServer } from '../http/callerServer.js';
import { createLogger } from 'reedlug-gateway';
import type { PeerTls } from '../peers/peerLink.js';
import type { BoxSettings, Settings } from '../settings/settingsTypes.js';
import { SettingsCommand } from './settingsCommand.js';

/** Runs until SIGTERM or SIGINT, then drains. The same signal again ends the process. */
export class EntryCommand extends SettingsCommand {
  static override paths = [['entry']];
  static override usage = Command.Usage({
    description: 'Run the daemon of one entry box',
    details: 'On SIGTERM the box stops being ready, finishes the requests in progress and exits.',
    examples: [
      ['Run the box that the file names', 'reedlug entry --settings /etc/reedlug.yaml'],
      ['Run another box of the same file', 'reedlug entry --settings fleet.yaml --box hall-b-1'],
    ],
  });

  boxId = Option.String('--box', {
    description: 'Id of the box to run instead of the one that the file names',
  });
  tracePath = Option.String('--trace', { description: 'Record every event to this file' });

  override async execute(): Promise<number> {
    const settings = await this.loadSettings();
    if (settings === undefined) return 1;
    const box = this.findBox(settings);
    if (box === undefined) return 1;
    const logger = createLogger({ box: box.id }, (line) => {
      this.context.stdout.write(`${line}\n`);
    });
    const trace = this.tracePath === undefined ? undefined : createWriteStream(this.tracePath);
    const onEvent = (event: BoxEvent): void => void trace?.write(`${JSON.stringify(event)}\n`);
    const incarnation = Date.now();
    const stopped = createResolvable<Error | undefined>();
    const daemon = await startEntryDaemon({
      settings,
      box,
      incarnation,
      peerSecret: await readPeerSecret(settings),
      peerTls: await readPeerTls(settings),
      logger,
      partitions: { platform: () => false, zone: () => false },
      onEvent: trace === undefined ? undefined : onEvent,
      onStarted: (head) => void trace?.write(`${JSON.stringify(head)}\n`),
      onStopped: stopped.resolve,
    });
    const server = createCallerServer(daemon);
    const [host = '0.0.0.0', port = '0'] = box.callers.split(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, resolve);
    });
    logger('ready', { zone: box.zone, entry: `http://${box.callers}` });
    process.once('SIGTERM', () => daemon.emit({ type: 'stopAsked' }));
    process.once('SIGINT', () => daemon.emit({ type: 'stopAsked' }));
    const error = await stopped.promise;
    server.closeIdleConnections();
    server.close();
    await daemon.kill();
    trace?.end();
    logger('stopped', { clean: error === undefined });
    return error === undefined ? 0 : 2;
  }

  private findBox(settings: Settings): BoxSettings | undefined {
    const wantedId = this.boxId ?? settings.box;
    const box = settings.boxes.find(({ id }) => id === wantedId);
    if (box !== undefined) return box;
    const known = settings.boxes.map(({ id }) => id).join(', ');
    this.context.stderr.write(
      `set the box with --box or the key "box" of the settings; known boxes: ${known}\n`,
    );
    return undefined;
  }
}

function createResolvable<T>(): { promise: Promise<T>; resolve: (value: T) => void } {
  let resolve: (value: T) => void = () => undefined;
  const promise = new Promise<T>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { promise, resolve };
}

async function readPeerSecret(settings: Settings): Promise<string> {
  if (settings.peerSecretFile === undefined) return settings.peerSecret ?? '';
  return (await readFile(settings.peerSecretFile, 'utf8')).trim();
}

async function readPeerTls(settings: Settings): Promise<PeerTls | undefined> {
  const { peerTls } = settings;
  if (peerTls === undefined) return undefined;
  const [key, cert, ca] = await Promise.all(
    [peerTls.keyFile, peerTls.certFile, peerTls.caFile].map((path) => readFile(path, 'utf8')),
  );
  return { key: key ?? '', cert: cert ?? '', ca: ca ?? '' };
}
