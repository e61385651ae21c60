/** Reads scene files. A scene may extend another one: each field that it has replaces the whole field of the other. */
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { parseDocument } from 'yaml';
import type { Scene } from './scene.js';
import { validateScene, type SceneFileError } from './sceneValidation.js';

/** Maximum length of a chain of `extends`; a longer one is treated as circular. */
const MAX_EXTENDS_DEPTH = 5;

/** A scene, or all errors of its file. */
export type SceneFileResult =
  { kind: 'scene'; scene: Scene } | { kind: 'faulty'; faults: SceneFileError[] };

/** Reads and validates a scene file. */
export function readSceneFile(path: string): SceneFileResult {
  const text = readText(path);
  if (text.kind === 'faulty') return text;
  const base = readBase(path, text.text, 1);
  if (base.kind === 'faulty') return base;
  return validateScene(text.text, base.fields);
}

function readText(
  path: string,
): { kind: 'text'; text: string } | { kind: 'faulty'; faults: SceneFileError[] } {
  try {
    return { kind: 'text', text: readFileSync(path, 'utf8') };
  } catch (error) {
    return faulty(`cannot be read: ${(error as Error).message}`);
  }
}

/** Returns the merged fields of the scenes that a text extends; those of the nearest scene take precedence. */
function readBase(
  path: string,
  text: string,
  depth: number,
):
  | { kind: 'fields'; fields: Record<string, unknown> }
  | { kind: 'faulty'; faults: SceneFileError[] } {
  const baseName = (parseDocument(text).toJS() as { extends?: unknown } | null)?.extends;
  if (baseName === undefined) return { kind: 'fields', fields: {} };
  if (typeof baseName !== 'string') return faulty('`extends` must be the name of a file');
  if (depth > MAX_EXTENDS_DEPTH) return faulty(`${baseName}: scenes extend each other in a circle`);
  const basePath = join(dirname(path), baseName);
  const base = readText(basePath);
  if (base.kind === 'faulty') return base;
  const inherited = readBase(basePath, base.text, depth + 1);
  if (inherited.kind === 'faulty') return inherited;
  const own = parseDocument(base.text).toJS() as Record<string, unknown>;
  return { kind: 'fields', fields: { ...inherited.fields, ...own } };
}

function faulty(message: string): { kind: 'faulty'; faults: SceneFileError[] } {
  return { kind: 'faulty', faults: [{ line: 1, field: '', message }] };
}
