import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {WithoutTime} from '../core/types.js';
import {createModelForward, reduceModelForward} from './model-forward.js';
import type {ModelForwardEffect, ModelForwardEvent, ModelForwardOptions} from './model-forward.js';

type Step = WithoutTime<ModelForwardEvent> & {readonly nowMs?: number};

function run(steps: readonly Step[], options: Partial<ModelForwardOptions> = {}): string[] {
	const state = createModelForward({
		isResumable: false,
		maxAttempts: 1,
		patience: {maxWaitMs: 600, gapMs: 50, spareShare: 0},
		returnAfterMs: 2000,
		takeRetry: () => true,
		hasSoundPrefill: () => false,
		countFailedPrompt: () => undefined,
		...options,
	});
	return [{type: 'forward/start'} as const, ...steps].flatMap(step => reduceModelForward(state, {nowMs: 0, ...step}).map(effect => summary(effect)));
}

function summary(effect: ModelForwardEffect): string {
	switch (effect.type) {
		case 'forward/hold': {
			return `${effect.isSpacious ? '' : 'tight '}hold -${[...effect.exclude].join(',')}`;
		}

		case 'forward/answer': {
			return `${effect.answer.status}${effect.answer.retryAfterMs === undefined ? '' : ' later'}`;
		}

		case 'forward/wait':
		case 'forward/prefill':
		case 'forward/send':
		case 'forward/relay':
		case 'forward/release':
		case 'forward/cut': {
			return effect.type.slice('forward/'.length);
		}
	}
}

function refused(server: string, attempt = 1): Step {
	return {type: 'forward/hold-refused', attempt, server};
}

function sent(attempt = 1): Step[] {
	return [{type: 'forward/held', attempt}, {type: 'forward/prefilled', attempt}];
}

function answered(attempt: number, status = 200, isNotRun = false): Step {
	return {
		type: 'forward/answered', attempt, status, isNotRun, server: 'd1',
	};
}

test('no prompt is read before an engine has reserved memory for it', () => {
	assert.deepEqual(run([refused('d1'), ...sent(), answered(1)]), ['hold -', 'hold -d1', 'prefill', 'send', 'relay']);
});

test('guards against a burst that is refused at once: a request waits on a full pool while its objective is in reach', () => {
	const none: Step = {type: 'forward/no-engine', attempt: 1};
	const tight = [refused('d1'), none, refused('d1')];
	const asked = ['hold -', 'hold -d1', 'tight hold -', 'tight hold -d1'];
	assert.deepEqual(run([...tight, none, {type: 'forward/wake'}]), [...asked, 'wait', 'hold -']);
	assert.deepEqual(run([...tight, {...none, nowMs: 590}]), [...asked, 'release', '503 later']);
});

test('guards against streams that outgrow a full engine while others have room: engines with memory to spare are asked before the others', () => {
	assert.deepEqual(run([refused('d1'), {type: 'forward/held', attempt: 1}]), ['hold -', 'hold -d1', 'prefill']);
	const none: Step = {type: 'forward/no-engine', attempt: 1};
	assert.deepEqual(run([refused('d1'), refused('d2'), none, {type: 'forward/held', attempt: 1}]), ['hold -', 'hold -d1', 'hold -d1,d2', 'tight hold -', 'prefill']);
	// Nothing was refused for the memory to spare.
	assert.deepEqual(run([none]), ['hold -', 'wait']);
});

test('a request that was turned away starts over elsewhere, though it may run only once', () => {
	assert.deepEqual(run([...sent(), answered(1, 503, true)]).slice(3), ['release', 'hold -d1']);
	assert.deepEqual(run([...sent(), {
		type: 'forward/failed', attempt: 1, failure: {mayHaveRun: true, detail: 'reset'}, server: 'd1',
	}]).slice(3), ['release', '502']);
});

test('short handles: a prefill result that is gone is made anew by another prefill engine, on the same decode engine', () => {
	const gone: Step = {
		type: 'forward/answered', attempt: 1, status: 503, isNotRun: true, server: 'd1', prefillServer: 'p1',
	};
	assert.deepEqual(run([...sent(), gone]).slice(3), ['release', 'hold -p1']);
});

test('a stream that broke off goes on elsewhere only where it may be resumed', () => {
	const broken: Step = {type: 'forward/broken', attempt: 1, server: 'd1'};
	assert.deepEqual(run([...sent(), answered(1), broken]).slice(4), ['release', 'cut']);
	assert.deepEqual(run([...sent(), answered(1), broken], {isResumable: true, maxAttempts: 2}).slice(4), ['release', 'hold -d1']);
	assert.deepEqual(run([...sent(), answered(1), broken], {isResumable: true, maxAttempts: 2, takeRetry: (_nowMs, arrivals) => arrivals === 0}).slice(4), ['release', 'cut']);
});

test('the time that is over is answered truthfully', () => {
	const over: Step = {type: 'forward/stopped', cause: 'deadline'};
	assert.deepEqual(run([over]), ['hold -', 'release', '503 later']);
	assert.deepEqual(run([...sent(), over]).slice(3), ['release', '504']);
	assert.deepEqual(run([...sent(), answered(1), over]).slice(4), ['release', 'cut']);
	assert.deepEqual(run([...sent(), {type: 'forward/stopped', cause: 'caller-gone'}, answered(1)]).slice(3), ['release']);
});

test('dark engine: a stream that falls silent goes on elsewhere where it may be resumed, and is waited for otherwise', () => {
	const stalled: Step = {type: 'forward/stalled', attempt: 1, server: 'd1'};
	assert.deepEqual(run([...sent(), stalled], {isResumable: true, maxAttempts: 2}).slice(3), ['release', 'hold -d1']);
	assert.deepEqual(run([...sent(), answered(1), stalled], {isResumable: true, maxAttempts: 2}).slice(4), ['release', 'hold -d1']);
	assert.deepEqual(run([...sent(), stalled, answered(1)]).slice(3), ['relay']);
	assert.deepEqual(run([...sent(), stalled, answered(1)], {isResumable: true, maxAttempts: 2, takeRetry: (_nowMs, arrivals) => arrivals === 0}).slice(3), ['relay']);
});

test('crash on a full pool: a stream that broke off waits for memory as long as a new request', () => {
	const broken: Step = {
		type: 'forward/broken', attempt: 1, server: 'd1', nowMs: 3000,
	};
	const none: Step = {type: 'forward/no-engine', attempt: 2, nowMs: 3010};
	assert.deepEqual(run([...sent(), answered(1), broken, none], {isResumable: true, maxAttempts: 2}).slice(4), ['release', 'hold -d1', 'wait']);
	assert.deepEqual(run([...sent(), answered(1), broken, {...none, nowMs: 3600}], {isResumable: true, maxAttempts: 2}).slice(6), ['release', 'cut']);
});

test('events of an attempt that was given up change nothing', () => {
	const steps = [...sent(), answered(1, 503, true), {type: 'forward/prefilled', attempt: 1} as const, refused('d9', 1)];
	assert.deepEqual(run(steps).slice(3), ['release', 'hold -d1']);
});

test('the decode engine reads the prompt itself when no prefill engine can', () => {
	const failed: Step = {
		type: 'forward/prefill-failed', attempt: 1, server: 'p1',
	};
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}, failed, {...failed, server: 'p2'}]), ['hold -', 'prefill', 'prefill', 'send']);
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}, {
		type: 'forward/prefill-failed', attempt: 1, server: undefined,
	}]), ['hold -', 'prefill', 'send']);
});

test('guards against resends that arrive twice, with their prompt and by themselves, and count once', () => {
	const arrivals: number[] = [];
	const takeRetry = (_nowMs: number, count: number) => {
		arrivals.push(count);
		return true;
	};

	run([...sent(), answered(1), {type: 'forward/broken', attempt: 1, server: 'd1'}], {isResumable: true, maxAttempts: 2, takeRetry});
	run([{type: 'forward/held', attempt: 1}, {
		type: 'forward/prefill-failed', attempt: 1, server: 'p1',
	}], {takeRetry});
	assert.deepEqual(arrivals.filter(count => count > 0), [2]);
});

test('guards against prompts that fail and count nowhere: each may be an arrival more', () => {
	let failed = 0;
	const steps: Step[] = [{type: 'forward/held', attempt: 1}, ...['p1', 'p2'].map(server => ({
		type: 'forward/prefill-failed' as const, attempt: 1, server,
	}))];
	const effects = run(steps, {
		countFailedPrompt() {
			failed++;
		},
	});
	assert.deepEqual(effects, ['hold -', 'prefill', 'prefill', 'send']);
	assert.equal(failed, 2);
	// Without budget for a prompt that may fail, none is sent to a prefill engine.
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}], {takeRetry: () => false}), ['hold -', 'send']);
	// The decode engine's streams would stand still while it reads.
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}], {takeRetry: () => false, hasSoundPrefill: () => true}), ['hold -', 'prefill']);
});

test('a request is refused at once if every engine wants no work for longer than it may wait, and for the reason that holds', () => {
	const refusal = (nowMs: number, resumesInMs?: number, isPrefillBusy = false) => {
		const state = createModelForward({
			isResumable: false, maxAttempts: 1, patience: {maxWaitMs: 600, gapMs: 50, spareShare: 0}, returnAfterMs: 2000, takeRetry: () => true, hasSoundPrefill: () => false, countFailedPrompt: () => undefined,
		});
		reduceModelForward(state, {type: 'forward/start', nowMs: 0});
		const effects = reduceModelForward(state, {
			type: 'forward/no-engine', attempt: 1, nowMs, resumesInMs, isPrefillBusy,
		});
		return effects.map(effect => effect.type === 'forward/answer' ? effect.answer : effect.type);
	};

	assert.deepEqual(refusal(0, 2500), ['forward/release', {status: 503, reason: 'no engine takes work', retryAfterMs: 2500}]);
	assert.deepEqual(refusal(0, 300), ['forward/wait']);
	assert.deepEqual(refusal(700), ['forward/release', {status: 503, reason: 'no engine has room', retryAfterMs: 2000}]);
	assert.deepEqual(refusal(700, undefined, true), ['forward/release', {status: 503, reason: 'the prefill engines are busy', retryAfterMs: 2000}]);
});
