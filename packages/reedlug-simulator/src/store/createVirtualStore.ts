/**
 * Creates the platform's store in virtual time: collections that boxes follow by long polls, a table,
 * and the number of calls by purpose.
 */
import {
  ANNOUNCE_TIMEOUT_MS,
  ROLLOUT_KEY_PREFIX,
  type Feed,
  type FeedAnswer,
  type OperatorEntry,
  type PeerChange,
  type RolloutRecord,
  type ServerChange,
  type StoreTableReply,
} from 'reedlug-gateway';
import {
  answerWithRevisions,
  versionOf,
  withStoreVersions,
  type TableAnswer,
  type TableOp,
} from 'reedlug-coordination';
import { applyTableOp, createTableModel } from 'reedlug-standins';
import { arePartitioned, later, nowMs, type World } from '../world.js';
import {
  changesOf,
  createCollection,
  setOrDelete,
  wakeWaiting,
  fullPageOf,
  type Collection,
  type StorePosition,
} from './storeCollection.js';
import { purposeOf, StoreCall, type StoreCaller } from './storeCalls.js';
import { createStoreHistory, StoreWriter, type StoreChange } from './storeHistory.js';
import { StoreOutage, type VirtualStore } from './virtualStore.js';

/** Zone of the store; it contains no boxes. */
const STORE_ZONE = '(store)';
/** Era of a store that has never been restored from a backup. */
const FIRST_ERA = 1;
/** Maximum number of rows per answer, as in the platform's store. */
const MAX_ROWS_PER_PAGE = 500;

/** A write or removal of one item. */
interface ItemWrite<T> {
  key: string;
  itemOf: (revision: number) => T;
  writer: StoreWriter;
  isRemoval?: boolean;
  redo?: () => void;
}

/** Returns an empty store. `worldOf` returns the world, which is created after the store. */
export function createVirtualStore(worldOf: () => World): VirtualStore {
  let version = 0;
  const operators = createCollection<OperatorEntry>();
  const servers = createCollection<ServerChange>();
  const boxes = createCollection<PeerChange>();
  const nextVersion = (): number => {
    version += 1;
    return version;
  };
  const table = createTableModel(nextVersion);
  const calls = new Map<StoreCall, number>();
  const callers = new Set<StoreCaller>();
  const history = createStoreHistory();

  /** Records the state before a change, so that a restore can revert it. */
  const recordChange = (
    change: Pick<StoreChange, 'writer' | 'key' | 'redo'>,
    revert: () => void,
  ): void => {
    const versionBefore = version;
    const undo = (): void => {
      revert();
      version = versionBefore;
    };
    history.recordChange({ ...change, atMs: nowMs(worldOf()), undo });
  };
  /** Writes an item, or removes it if `isRemoval` is set. */
  const put = <T>(
    collection: Collection<T>,
    { key, itemOf, writer, isRemoval = false, redo }: ItemWrite<T>,
  ): void => {
    const { items, removed, newestVersion } = collection;
    const [itemBefore, removedBefore] = [items.get(key), removed.get(key)];
    recordChange({ writer, key, redo }, () => {
      setOrDelete(items, key, itemBefore);
      setOrDelete(removed, key, removedBefore);
      collection.newestVersion = newestVersion;
    });
    const row = { itemOf, version: nextVersion() };
    setOrDelete(items, key, isRemoval ? undefined : row);
    setOrDelete(removed, key, isRemoval ? row : undefined);
    collection.newestVersion = row.version;
    wakeWaiting(collection);
  };
  const changeTable = (given: Extract<TableOp, { kind: 'transact' }>): TableAnswer => {
    const op = withStoreVersions(given);
    const before = op.writes.map(({ key }) => ({ key, row: table.rows.get(key) }));
    const key = op.writes[0]?.key ?? '';
    recordChange({ writer: StoreWriter.box, key, redo: undefined }, () => {
      for (const { key, row } of before) setOrDelete(table.rows, key, row);
      table.sortedIsStale = true;
    });
    return applyTableOp(table, op);
  };
  const count = (call: StoreCall, times = 1): void => {
    calls.set(call, (calls.get(call) ?? 0) + times);
  };

  const isUnreachableFrom = (zone: string): boolean =>
    store.outage === StoreOutage.silent || arePartitioned(worldOf(), zone, STORE_ZONE);

  const currentEra = (): number => FIRST_ERA + store.copies;
  const currentPosition = (): StorePosition => ({ era: currentEra(), version });

  /** Answers a call after the store's latency, or with `silent` after the timeout if the store is unreachable. */
  const answer = <R>(
    caller: StoreCaller,
    timeoutMs: number,
    make: () => R,
    silent: R,
  ): Promise<R> => {
    const world = worldOf();
    return new Promise((resolve) => {
      const settle = (value: R): void => {
        if (!caller.isAlive()) return;
        if (!isUnreachableFrom(caller.zone)) caller.onEra(currentEra());
        world.hasResolvedPromise = true;
        resolve(value);
      };
      if (isUnreachableFrom(caller.zone)) return later(world, timeoutMs, () => settle(silent));
      later(world, world.scene.storeAnswerMs, () =>
        settle(store.outage === undefined ? make() : silent),
      );
    });
  };

  const openFeed = <T>(
    collection: Collection<T>,
    call: StoreCall,
    caller: StoreCaller,
  ): Feed<T> => {
    const unavailable: FeedAnswer<T> = { kind: 'unavailable', reason: 'silent' };
    return {
      readAll(timeoutMs) {
        count(call, Math.max(1, Math.ceil(collection.items.size / MAX_ROWS_PER_PAGE)));
        return answer(
          caller,
          timeoutMs,
          () => fullPageOf(worldOf(), collection, currentPosition()),
          unavailable,
        );
      },
      follow({ afterRevision, waitMs, timeoutMs, signal }) {
        count(call);
        const world = worldOf();
        const afterVersion = versionOf(afterRevision);
        return new Promise((resolve) => {
          let isDone = false;
          let isLost = false;
          const finish = (): void => {
            if (isDone) return;
            if (isUnreachableFrom(caller.zone)) return;
            const isOfRegistry =
              call === StoreCall.servers && collection.newestVersion > afterVersion;
            if (isOfRegistry && caller.registryAnswersToLose > 0) {
              caller.registryAnswersToLose -= 1;
              isLost = true;
            }
            if (isLost) return;
            isDone = true;
            collection.waiting.delete(check);
            later(world, world.scene.storeAnswerMs, () => {
              if (!caller.isAlive()) return;
              caller.onEra(currentEra());
              world.hasResolvedPromise = true;
              if (store.outage !== undefined) return resolve(unavailable);
              if (afterVersion > version) return resolve({ kind: 'historyGone' });
              resolve(changesOf(world, collection, afterVersion, currentPosition()));
            });
          };
          const check = (): void => {
            const isUnknown = afterVersion > version;
            const hasChanged = collection.newestVersion > afterVersion;
            if (isUnknown || hasChanged || store.outage !== undefined) finish();
          };
          const giveUp = (): void => {
            if (isDone || !caller.isAlive()) return;
            isDone = true;
            collection.waiting.delete(check);
            world.hasResolvedPromise = true;
            resolve(unavailable);
          };
          collection.waiting.add(check);
          check();
          signal?.addEventListener('abort', giveUp);
          later(world, waitMs, finish);
          later(world, timeoutMs, giveUp);
        });
      },
    };
  };

  const store: VirtualStore = {
    outage: undefined,
    setOutage(outage) {
      store.outage = outage;
      store.lastOutageChangeAtMs = nowMs(worldOf());
      if (outage === undefined) return;
      wakeWaiting(operators);
      wakeWaiting(servers);
      wakeWaiting(boxes);
    },
    lastOutageChangeAtMs: Number.NEGATIVE_INFINITY,
    copies: 0,
    restoreTo(atMs) {
      store.copies += 1;
      return history.revertAfter(atMs);
    },
    skipVersions(count) {
      version += count;
    },
    calls,
    putConfiguration(configuration) {
      const item: OperatorEntry = { kind: 'configuration', configuration };
      put(operators, {
        key: 'configuration',
        itemOf: () => item,
        writer: StoreWriter.operator,
      });
    },
    orderRollout(given) {
      const key = `${ROLLOUT_KEY_PREFIX}${given.service}`;
      put(operators, {
        key,
        itemOf: (revision): OperatorEntry => ({ kind: 'rollout', order: { ...given, revision } }),
        writer: StoreWriter.operator,
        redo: () => store.orderRollout(given),
      });
    },
    rolloutRecord(service) {
      const op = { kind: 'read' as const, keys: [`${ROLLOUT_KEY_PREFIX}${service}`] };
      const answer = applyTableOp(table, op);
      return answer.kind === 'done' ? (answer.rows[0]?.value as RolloutRecord) : undefined;
    },
    putServer(entry) {
      const itemOf = (): ServerChange => ({ id: entry.id, entry });
      put(servers, { key: entry.id, itemOf, writer: StoreWriter.server });
    },
    loseRegistryAnswers(isPicked, answers) {
      for (const caller of callers) {
        if (isPicked()) caller.registryAnswersToLose = answers;
      }
    },
    removeServer(id) {
      const itemOf = (): ServerChange => ({ id, entry: undefined });
      put(servers, { key: id, itemOf, writer: StoreWriter.server, isRemoval: true });
    },
    openFor(zone, { isAlive, onEra }) {
      const caller = { zone, isAlive, onEra, registryAnswersToLose: 0 };
      callers.add(caller);
      return {
        operators: openFeed(operators, StoreCall.operators, caller),
        servers: openFeed(servers, StoreCall.servers, caller),
        boxes: openFeed(boxes, StoreCall.boxes, caller),
        announceBox(boxId, address, holdsPart) {
          count(StoreCall.announce);
          const register = (): boolean => {
            const itemOf = (revision: number): PeerChange => ({
              boxId,
              address,
              holdsPart,
              revision,
            });
            put(boxes, { key: boxId, itemOf, writer: StoreWriter.box });
            return true;
          };
          return answer(caller, ANNOUNCE_TIMEOUT_MS, register, false);
        },
        table(op, timeoutMs) {
          const key = op.kind === 'transact' ? op.writes[0]?.key : undefined;
          count(purposeOf(key ?? (op.kind === 'read' ? op.keys[0] : undefined)));
          const done = (): StoreTableReply => {
            const found = op.kind === 'transact' ? changeTable(op) : applyTableOp(table, op);
            const era = currentEra();
            return {
              answer: answerWithRevisions(op, found, era),
              storeNowMs: nowMs(worldOf()),
              era,
            };
          };
          const silent: StoreTableReply = {
            answer: { kind: 'unknown' },
            storeNowMs: undefined,
            era: undefined,
          };
          return answer(caller, timeoutMs, done, silent);
        },
        close: () => Promise.resolve(),
      };
    },
  };
  return store;
}
