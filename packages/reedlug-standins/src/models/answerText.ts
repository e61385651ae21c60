/** Text of the stand-ins' answers. The same key and offset give the same token at every engine. */
import { hashString } from 'reedlug-coordination';

const WORDS: readonly string[] = [
  'the',
  'meter',
  'passed',
  'each',
  'test',
  'of',
  'its',
  'class',
  'and',
  'was',
  'sealed',
  'under',
  'load',
  'within',
  'limits',
  'as',
  'stated',
  'by',
  'report',
];

/** Returns the token at an offset of an answer. All but the first have a leading space. */
export function answerToken(answerKey: string, offset: number): string {
  const word = WORDS[(hashString(answerKey) + offset * 7) % WORDS.length] ?? 'the';
  return offset === 0 ? word : ` ${word}`;
}

/** Returns the whole text of an answer. */
export function answerText(answerKey: string, totalTokens: number): string {
  let text = '';
  for (let offset = 0; offset < totalTokens; offset += 1) text += answerToken(answerKey, offset);
  return text;
}
