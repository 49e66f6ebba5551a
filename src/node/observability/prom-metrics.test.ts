import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PromMetrics} from './prom-metrics.js';

test('durations are exported in seconds', async () => {
	const metrics = new PromMetrics({vm: 'entry-1'});
	metrics.observe('request_duration_ms', 800, {service: 'dossiers'});
	assert.match(await metrics.render(), /jasminehead_request_duration_seconds_sum{[^}]*service="dossiers"[^}]*} 0\.8/);
});

test('label values chosen by callers cannot increase the number of series without limit', async () => {
	const metrics = new PromMetrics({vm: 'entry-1'});
	for (let i = 0; i < 2010; i++) {
		metrics.count('refusals_total', {tenant: `t${i}`});
	}

	assert.match(await metrics.render(), /jasminehead_refusals_total{[^}]*tenant="other"[^}]*} 10/);
});
