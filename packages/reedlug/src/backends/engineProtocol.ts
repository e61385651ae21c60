/**
 * The engines' HTTP protocol: OpenAI-style completions with extension fields
 * for offsets, resume, priority, KV cache and load.
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
  /** 0 goes before 1. */
  priority: 0 | 1;
  /** Tokens of the answer that the caller has already; the engine goes on after them. */
  resume_tokens: readonly string[];
  /** Key under which the engine keeps the prefix cache of the conversation. */
  cache_key: number;
  prompt_tokens: number;
  /** Exported KV cache to take in first. */
  kv_ticket: { ticket_id: string; source: string } | undefined;
}

/** A data line of the answer. */
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

/** Body of `POST /v1/kv/move`: an idle prefix goes to another engine. */
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
