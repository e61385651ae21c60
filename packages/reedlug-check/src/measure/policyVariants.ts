/** The measured policy and the baselines that it is compared with. */
import type { DecisionSettings, PolicySettings } from 'reedlug-decisions';

/** Names of the policy variants. */
export const PolicyVariant = {
  reedlug: 'reedlug',
  roundRobin: 'roundRobin',
  leastRequests: 'leastRequests',
  stickyHash: 'stickyHash',
  noKvMove: 'noKvMove',
  onDemandOnly: 'onDemandOnly',
  cheapestFirst: 'cheapestFirst',
  fixedSize: 'fixedSize',
  cacheAware: 'cacheAware',
} as const;
export type PolicyVariant = (typeof PolicyVariant)[keyof typeof PolicyVariant];

/** Policy of a plain load balancer: no cache moves, no reserved slots, the cheapest boxes. */
const PLAIN_BALANCER: Partial<PolicySettings> = {
  kvMove: false,
  placement: 'cheapestFirst',
  sizing: 'fixed',
  urgentReservedSlots: 0,
  patientFloorEvery: 1_000_000,
};

/** Returns the policy settings that a variant changes. */
export function policyOf(variant: PolicyVariant): Partial<PolicySettings> {
  switch (variant) {
    case PolicyVariant.reedlug:
      return {};
    case PolicyVariant.roundRobin:
    case PolicyVariant.leastRequests:
    case PolicyVariant.stickyHash:
      return { ...PLAIN_BALANCER, routing: variant };
    case PolicyVariant.noKvMove:
      return { kvMove: false };
    case PolicyVariant.onDemandOnly:
      return { placement: 'onDemandOnly', sizing: 'fixed' };
    case PolicyVariant.cheapestFirst:
      return { placement: 'cheapestFirst', sizing: 'fixed' };
    case PolicyVariant.fixedSize:
      return { sizing: 'fixed' };
    case PolicyVariant.cacheAware:
      return { window: 'cacheAware' };
  }
}

/** Returns the settings of a variant, with initial engines as its placement would buy them. */
export function settingsFor<T extends Pick<DecisionSettings, 'policy' | 'servers'>>(
  settings: T,
  variant: PolicyVariant,
): T {
  const policy = { ...settings.policy, ...policyOf(variant) };
  return {
    ...settings,
    policy,
    servers: settings.servers.map((spec) => withPlacement(spec, policy)),
  };
}

function withPlacement(
  spec: DecisionSettings['servers'][number],
  policy: PolicySettings,
): DecisionSettings['servers'][number] {
  if (spec.kind !== 'engine') return spec;
  switch (policy.placement) {
    case 'onDemandOnly':
      return { ...spec, reclaimable: false };
    case 'cheapestFirst':
      return { ...spec, reclaimable: true };
    case 'effectivePrice':
      return spec;
  }
}
