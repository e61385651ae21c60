import { expect } from 'chai';
import { validateGatewaySettings } from '../gatewaySettingsValidation.js';

const VALID = `
box: { id: box-1, ip: 10.0.0.1, zone: zone-a }
zones: [zone-a, zone-b]
listen: { callers: 10.0.0.1:8080, readiness: 10.0.0.1:8081, peersPort: 7600 }
seeds: [10.0.0.2:7600]
store: { address: 10.0.1.1:8000 }
cloud: { address: 10.0.1.2:8000, duties: [usageReports] }
bounds:
  configurationMs: 2000
  drainMs: 2000
  graceSeconds: 8
  retryRatio: 0.2
  retrySlack: 50
  leaseMs: 3000
  usageWindowSeconds: 5
  usageDueSeconds: 10
`;

function faultsOf(text: string): readonly string[] {
  const result = validateGatewaySettings(text);
  return result.kind === 'invalid' ? result.faults : [];
}

test('a complete file is valid, and times are converted to ms', () => {
  const result = validateGatewaySettings(VALID);
  if (result.kind !== 'valid') throw new Error(result.faults.join('; '));
  const { settings } = result;
  expect(settings.bounds.graceMs).to.equal(8000);
  expect(settings.bounds.usageWindowMs).to.equal(5000);
  expect(settings.listen.callers).to.deep.equal({ host: '10.0.0.1', port: 8080 });
  expect(settings.cloud?.reportsUsage).to.equal(true);
  expect(settings.cloud?.ordersEngines).to.equal(false);
  expect(settings.listen.metricsPort).to.equal(9464);
});

test('all faults are reported at once, each with its path', () => {
  const text = VALID.replace('10.0.0.1:8080', 'nowhere').replace('drainMs: 2000', 'drainMs: -1');
  const faults = faultsOf(text);
  expect(faults).to.have.length(2);
  expect(faults[0]).to.contain('listen.callers');
  expect(faults[1]).to.contain('bounds.drainMs');
});

test('an unknown key is rejected', () => {
  expect(faultsOf(`${VALID}\nspeed: 9\n`)[0]).to.contain('speed');
});

test('text that is not YAML is reported', () => {
  expect(faultsOf('box: [')[0]).to.contain('not YAML');
});

test('a box without a cloud has no duties', () => {
  const text = VALID.replace(/^cloud.*$/m, '');
  const result = validateGatewaySettings(text);
  expect(result.kind === 'valid' && result.settings.cloud).to.equal(undefined);
});

test('decisions under load are off unless the file enables them', () => {
  const plain = validateGatewaySettings(VALID);
  expect(plain.kind === 'valid' && plain.settings.load.shareCapacity).to.equal(false);
  const enabled = validateGatewaySettings(`${VALID}load: { shareCapacity: true }\n`);
  expect(enabled.kind === 'valid' && enabled.settings.load.shareCapacity).to.equal(true);
  expect(enabled.kind === 'valid' && enabled.settings.load.placeBySize).to.equal(false);
});

test('placement by size without learned speeds is reported', () => {
  const faults = faultsOf(`${VALID}load: { placeBySize: true }\n`);
  expect(faults).to.deep.equal(['load.placeBySize: needs learnServerSpeeds: true']);
});
