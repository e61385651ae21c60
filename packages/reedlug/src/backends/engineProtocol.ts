/**
 * HTTP protocol of the engines: completions in the format of OpenAI's API, with additional fields
 * for offsets, resuming, priority, KV cache and load.
 */
import type { EngineReport, RefusalReason } from 'reedlug-decisions';

/** Body of `POST /v1/completions` at an engine. */
export interface EngineCompletionRequest {
  request_id: string;
  model: string;
  version: string;
  prompt: string;
  stream: true;
  max_tokens: number;
  /** Requests with priority 0 run before those with priority 1. */
  priority: 0 | 1;
  /** Tokens of the answer that were already received; the engine continues after them. */
  resume_tokens: readonly string[];
  /** Key under which the engine stores the prefix cache of the conversation. */
  cache_key: number;
  prompt_tokens: number;
  /** Exported KV cache that the engine imports before it runs the request. */
  kv_ticket: { ticket_id: string; source: string } | undefined;
}

/** Payload of a `data:` line of the answer. */
export interface EngineChunk {
  offset?: number;
  tokens?: string[];
  end?: boolean;
  total_tokens?: number;
  cached_tokens?: number;
  report?: EngineReport;
}

/** Body of a refusal, with status 409. */
export interface EngineRefusal {
  refused: RefusalReason;
}

/** Body of `POST /v1/kv/export`. */
export interface KvExportRequest {
  request_id: string;
}

/** Answer to an export. */
export interface KvExportAnswer {
  ticket_id: string;
  offset: number;
}

/** Body of `POST /v1/kv/move`, which moves an idle prefix to another engine. */
export interface KvMoveRequest {
  cache_key: number;
  target: string;
}

/** Body of `POST /v1/orders`. */
export interface EngineOrderRequest {
  order_id: string;
  fence: number;
  valid_for_ms: number;
  model: string;
  version: string;
  adapters: readonly string[];
  role: 'serve' | 'drain';
}

/** Answer of `GET /v1/load`. */
export type EngineLoadAnswer = EngineReport & {
  cache_sequence: number;
  cache_evicted: number[];
};
