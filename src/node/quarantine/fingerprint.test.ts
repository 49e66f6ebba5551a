import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {maxPartLength} from '../../common/quarantine/messages.js';
import {prefillParts} from '../../common/quarantine/parts.js';
import {fingerprintOf} from './fingerprint.js';
import type {RequestIdentity} from './fingerprint.js';

function fingerprint(changes: Partial<RequestIdentity> = {}): string {
	return fingerprintOf({
		method: 'POST', host: 'desk.example', target: '/a?b=1', customer: 'acme', body: Buffer.from('body'), ...changes,
	});
}

// Guards against attempts at one request that are not recognized, and against other requests that are taken for it.
test('requests have the same fingerprint if and only if their contents are the same', () => {
	for (const host of ['desk.example', 'Desk.Example', 'desk.example:8080']) {
		assert.equal(fingerprint({host}), fingerprint(), host);
	}

	const others: ReadonlyArray<Partial<RequestIdentity>> = [{method: 'PUT'}, {host: 'other.example'}, {target: '/a?b=2'}, {customer: 'other'}, {customer: undefined}, {body: Buffer.from('')}];
	const all = [fingerprint(), ...others.map(other => fingerprint(other))];
	assert.equal(new Set(all).size, all.length);
});

// Guards against fingerprints that reports shorten, so that prefill engines and decode engines are not told apart.
test('a fingerprint fits into a report, also with a prefix', () => {
	const [prefillPart] = prefillParts([fingerprint()]);
	assert.equal(prefillPart, `prefill ${fingerprint()}`);
	assert.ok(prefillPart.length <= maxPartLength);
});
