/** Arithmetic of docs/design/split-core.md: what VMs may grant themselves while they reach no leader. No part of the product uses it yet. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {CentralBucket} from './central-bucket.js';
import type {CustomerLimit} from './types.js';

const windowMs = 8000;
const overshoot = 0.1;
const slackTokens = 190_000;
const vmCount = 72;

type Spending = {readonly atMs: number; readonly tokens: number};

function unusedTokens({rate, burst}: CustomerLimit): number {
	return (((rate * windowMs / 1000) + burst) * overshoot) + slackTokens;
}

function boundTokens(limit: CustomerLimit): number {
	return (limit.rate * windowMs / 1000) + limit.burst + unusedTokens(limit);
}

/** Returns the most tokens that were spent in any window. */
function largestWindow(spendings: readonly Spending[]): number {
	const ordered = spendings.toSorted((a, b) => a.atMs - b.atMs);
	let largest = 0;
	let tokens = 0;
	let first = 0;
	for (const spending of ordered) {
		tokens += spending.tokens;
		while (ordered[first]!.atMs <= spending.atMs - windowMs) {
			tokens -= ordered[first++]!.tokens;
		}

		largest = Math.max(largest, tokens);
	}

	return largest;
}

/** Plays a customer that always asks for more. Each VM spends its part whenever a cut, which comes and goes at random, allows it, while a leader elsewhere grants all that the bucket has. */
function play(limit: CustomerLimit, partTokens: number, seed: number): number {
	const random = new SeededRandom(seed);
	const requestTokens = 5270;
	const bucket = new CentralBucket(limit, 0);
	const spendings: Spending[] = [];
	const ownSpendings = Array.from({length: vmCount}, (): Spending[] => []);
	let cutShare = 0;
	for (let atMs = 0; atMs < 4 * windowMs; atMs += 50) {
		cutShare = random.next() < 0.02 ? random.next() : cutShare;
		const before = bucket.admittedTokens;
		for (let i = 0; i < vmCount; i++) {
			bucket.request(requestTokens, 0, atMs);
		}

		spendings.push({atMs, tokens: bucket.admittedTokens - before});
		for (const own of ownSpendings) {
			while (own.length > 0 && own[0]!.atMs <= atMs - windowMs) {
				own.shift();
			}

			const left = partTokens - own.reduce((total, {tokens}) => total + tokens, 0);
			if (left > 0 && random.next() < cutShare) {
				const spending = {atMs, tokens: Math.min(left, requestTokens)};
				own.push(spending);
				spendings.push(spending);
			}
		}
	}

	return largestWindow(spendings);
}

const limits: readonly CustomerLimit[] = [{rate: 372_976, burst: 372_976}, {rate: 20_000, burst: 60_000}, {rate: 600, burst: 6000}];

test('if VMs grant themselves fixed parts of what regular grants leave of the bound, no window exceeds it, whichever VMs are cut off', () => {
	for (const [i, limit] of limits.entries()) {
		const largest = play(limit, unusedTokens(limit) / vmCount, i + 1);
		assert.ok(largest <= boundTokens(limit), `${largest} of ${boundTokens(limit)}`);
	}
});

test('parts by the number of VMs that each side of a split sees exceed the bound', () => {
	const limit = limits[1]!;
	assert.ok(play(limit, unusedTokens(limit) / (vmCount / 2), 1) > boundTokens(limit));
});
