/** `reedlug plan`, `confirm`, `plans` and `undo`. Only confirming a plan changes anything. */
import { readFile, writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { parse } from 'yaml';
import type { ConfirmedPlan, OperatorAnswer, Plan } from 'reedlug-decisions';
import { parseIntent } from '../plans/intentValidation.js';
import { AdminCommand } from './adminClient.js';
import { formatTable } from './textTable.js';

/** A command that drafts a plan and writes it to a file. */
abstract class DraftCommand extends AdminCommand {
  abstract out: string;

  protected async writePlan(answer: OperatorAnswer): Promise<number> {
    if (answer.kind !== 'planned') {
      this.printLines(answerLines(answer));
      return 1;
    }
    await writeFile(this.out, JSON.stringify(answer.plan, undefined, 2));
    if (this.json) this.printJson(answer.plan);
    else
      this.printLines([...planLines(answer.plan), '', `confirm with: reedlug confirm ${this.out}`]);
    return 0;
  }
}

/** Requests a plan for an intent and writes it to a file. */
export class PlanCommand extends DraftCommand {
  static override paths = [['plan']];
  static override usage = Command.Usage({
    description: 'Show the plan for an intent without changing anything',
    examples: [['Plan a site move', 'reedlug plan -f move.yaml --out move.plan.json --entry $E']],
  });

  file = Option.String('-f,--file', { required: true, description: 'The intent, in YAML' });
  out = Option.String('--out', 'plan.json', { description: 'File to write the plan to' });

  override async execute(): Promise<number> {
    const document = await readDocument(this.file);
    if ('fault' in document) return this.fail([document.fault]);
    const parsed = parseIntent(document.value);
    if (parsed.kind === 'invalid') return this.fail(parsed.faults);
    const answer = await this.ask<OperatorAnswer>('POST', '/admin/plans', document.value);
    if (answer === undefined) return 1;
    return this.writePlan(answer.value);
  }

  private fail(faults: readonly string[]): number {
    for (const fault of faults) this.context.stderr.write(`${this.file}: ${fault}\n`);
    return 1;
  }
}

async function readDocument(path: string): Promise<{ value: unknown } | { fault: string }> {
  try {
    return { value: parse(await readFile(path, 'utf8')) as unknown };
  } catch (error) {
    return { fault: (error as Error).message.split('\n')[0] ?? 'cannot be read' };
  }
}

/** Confirms a plan, or prints the plan that it conflicts with. */
export class ConfirmCommand extends AdminCommand {
  static override paths = [['confirm']];
  static override usage = Command.Usage({
    description: 'Confirm a plan, or show the earlier plan that it conflicts with',
    examples: [['Confirm a plan at any box', 'reedlug confirm move.plan.json --entry $E']],
  });

  planPath = Option.String();

  override async execute(): Promise<number> {
    const document = await readDocument(this.planPath);
    if ('fault' in document) {
      this.context.stderr.write(`${this.planPath}: ${document.fault}\n`);
      return 1;
    }
    const answer = await this.ask<OperatorAnswer>('POST', '/admin/plans/confirm', document.value);
    if (answer === undefined) return 1;
    if (this.json) this.printJson(answer.value);
    else this.printLines(answerLines(answer.value));
    return answer.value.kind === 'confirmed' ? 0 : 1;
  }
}

/** Lists confirmed plans. */
export class PlansCommand extends AdminCommand {
  static override paths = [['plans']];
  static override usage = Command.Usage({
    description: 'List confirmed plans',
    examples: [['Ask a box', 'reedlug plans --entry $E']],
  });

  override async execute(): Promise<number> {
    const answer = await this.ask<OperatorAnswer>('GET', '/admin/plans');
    if (answer === undefined) return 1;
    if (this.json) this.printJson(answer.value);
    else this.printLines(answerLines(answer.value));
    return 0;
  }
}

/** Drafts the plan that undoes a confirmed one. */
export class UndoCommand extends DraftCommand {
  static override paths = [['undo']];
  static override usage = Command.Usage({
    description: 'Draft the plan that undoes a confirmed one; confirm it like any other',
    examples: [['Undo a plan', 'reedlug undo 7f3c --out undo.json --entry $E']],
  });

  planId = Option.String();
  out = Option.String('--out', 'undo.json', { description: 'File to write the plan to' });

  override async execute(): Promise<number> {
    const path = `/admin/plans/${encodeURIComponent(this.planId)}/undo`;
    const answer = await this.ask<OperatorAnswer>('POST', path, {});
    if (answer === undefined) return 1;
    return this.writePlan(answer.value);
  }
}

/** Formats a plan as lines of text. */
export function planLines(plan: Plan): string[] {
  const steps = plan.steps.map(({ atEpochMs, text }) => [new Date(atEpochMs).toISOString(), text]);
  const boxes = plan.boxes.map(({ zone, machineClass, reclaimable, countDelta }) => [
    countDelta > 0 ? `+${countDelta}` : countDelta,
    zone,
    machineClass,
    reclaimable ? 'reclaimable' : 'on demand',
  ]);
  const basis = plan.basis.map(({ name, revision }) => `${name} at revision ${revision}`);
  return [
    `plan ${plan.planId} by ${plan.operatorId}: ${plan.intent.kind}`,
    `cost per hour: ${plan.costPerHourBefore} before, ${plan.costPerHourAfter} after`,
    `tokens at stake: ${plan.tokensAtStake}`,
    `rests on: ${basis.join(', ')}`,
    `digest: ${plan.digest}`,
    '',
    ...formatTable(['TIME', 'STEP'], steps),
    ...(boxes.length > 0 ? ['', ...formatTable(['BOXES', 'ZONE', 'CLASS', 'KIND'], boxes)] : []),
    ...(plan.risks.length > 0 ? ['', ...plan.risks.map((risk) => `risk: ${risk}`)] : []),
  ];
}

/** Formats an answer as lines of text. */
export function answerLines(answer: OperatorAnswer): string[] {
  switch (answer.kind) {
    case 'planned':
      return planLines(answer.plan);
    case 'invalid':
      return answer.faults.map((fault) => `fault: ${fault}`);
    case 'confirmed':
      return [
        `confirmed as revision ${answer.revision}`,
        `in force in: ${answer.zonesInForce.join(', ') || 'no zone yet'}`,
        `not reached: ${answer.zonesNotReached.join(', ') || 'none'}`,
      ];
    case 'conflict':
      return [
        `conflict: ${answer.item} was changed at revision ${answer.firstRevision}`,
        `by plan ${answer.firstPlanId} of ${answer.firstOperatorId}; plan again`,
      ];
    case 'unavailable':
    case 'unknown':
      return [`${answer.kind}: ${answer.detail}`];
    case 'plans':
      return plansLines(answer.plans);
  }
}

function plansLines(plans: readonly ConfirmedPlan[]): string[] {
  const rows = plans.map(({ planId, operatorId, revision, intent }) => [
    revision,
    planId,
    operatorId,
    intent.kind,
  ]);
  return formatTable(['REVISION', 'PLAN', 'OPERATOR', 'INTENT'], rows);
}
