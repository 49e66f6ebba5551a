import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {UntimedEvent} from '../core/types.js';
import {createModelForward, reduceModelForward} from './model-forward.js';
import type {ModelForwardEffect, ModelForwardEvent, ModelForwardOptions} from './model-forward.js';

type Step = UntimedEvent<ModelForwardEvent> & {readonly nowMs?: number};

function run(steps: readonly Step[], options: Partial<ModelForwardOptions> = {}): string[] {
	const state = createModelForward({
		isResumable: false,
		maxAttempts: 1,
		memoryWaitPolicy: {maxWaitMs: 600, roundIntervalMs: 50, spareMemoryRatio: 0},
		fullPoolRetryAfterMs: 2000,
		takeRetry: () => true,
		hasAcceptingPrefillEngine: () => false,
		chargeFailedPrefill: () => undefined,
		...options,
	});
	return [{type: 'forward/start'} as const, ...steps].flatMap(step => reduceModelForward(state, {nowMs: 0, ...step}).map(effect => summary(effect)));
}

function summary(effect: ModelForwardEffect): string {
	switch (effect.type) {
		case 'forward/hold': {
			return `${effect.isSpacious ? '' : 'no-spare '}hold -${[...effect.exclude].join(',')}`;
		}

		case 'forward/answer': {
			return `${effect.answer.status}${effect.answer.retryAfterMs === undefined ? '' : ' retry-after'}`;
		}

		case 'forward/seek-engine': {
			return `seek -${[...effect.exclude].join(',')}`;
		}

		case 'forward/watch':
		case 'forward/switch-engine':
		case 'forward/release-found':
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

function reservationRefused(server: string, attempt = 1): Step {
	return {type: 'forward/hold-refused', attempt, server};
}

function reservedAndPrefilled(attempt = 1): Step[] {
	return [{type: 'forward/held', attempt}, {type: 'forward/prefilled', attempt}];
}

function answered(attempt: number, status = 200, isNotRun = false): Step {
	return {
		type: 'forward/answered', attempt, status, isNotRun, server: 'd1',
	};
}

test('a prompt is not prefilled before a decode engine has reserved memory for the request', () => {
	assert.deepEqual(run([reservationRefused('d1'), ...reservedAndPrefilled(), answered(1)]), ['hold -', 'hold -d1', 'prefill', 'send', 'relay']);
});

test('a request on a full pool waits while it can still meet its latency objective, so that a burst is not rejected immediately', () => {
	const noEngine: Step = {type: 'forward/no-engine', attempt: 1};
	const refusedTwice = [reservationRefused('d1'), noEngine, reservationRefused('d1')];
	const reservationCalls = ['hold -', 'hold -d1', 'no-spare hold -', 'no-spare hold -d1'];
	assert.deepEqual(run([...refusedTwice, noEngine, {type: 'forward/wake'}]), [...reservationCalls, 'wait', 'hold -']);
	assert.deepEqual(run([...refusedTwice, {...noEngine, nowMs: 590}]), [...reservationCalls, 'release', '503 retry-after']);
});

test('engines with spare memory are asked first, so that streams do not outgrow one engine while other engines have free memory', () => {
	assert.deepEqual(run([reservationRefused('d1'), {type: 'forward/held', attempt: 1}]), ['hold -', 'hold -d1', 'prefill']);
	const noEngine: Step = {type: 'forward/no-engine', attempt: 1};
	assert.deepEqual(run([reservationRefused('d1'), reservationRefused('d2'), noEngine, {type: 'forward/held', attempt: 1}]), ['hold -', 'hold -d1', 'hold -d1,d2', 'no-spare hold -', 'prefill']);
	// No engine refused for lack of spare memory, so a round that does not require spare memory would not help.
	assert.deepEqual(run([noEngine]), ['hold -', 'wait']);
});

test('a request that an engine rejected without running it starts again on another engine, even if it may run only once', () => {
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1, 503, true)]).slice(3), ['release', 'hold -d1']);
	assert.deepEqual(run([...reservedAndPrefilled(), {
		type: 'forward/failed', attempt: 1, failure: {mayHaveRun: true, detail: 'reset'}, server: 'd1',
	}]).slice(3), ['release', '502']);
});

test('after a prefill result has expired, the next attempt excludes the prefill engine that lost it, but not the decode engine', () => {
	const prefillResultGone: Step = {
		type: 'forward/answered', attempt: 1, status: 503, isNotRun: true, server: 'd1', prefillServer: 'p1',
	};
	assert.deepEqual(run([...reservedAndPrefilled(), prefillResultGone]).slice(3), ['release', 'hold -p1']);
});

test('a broken stream continues on another engine only if it is resumable and the retry budget allows it', () => {
	const broken: Step = {type: 'forward/broken', attempt: 1, server: 'd1'};
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), broken]).slice(4), ['release', 'cut']);
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), broken], {isResumable: true, maxAttempts: 2}).slice(4), ['release', 'hold -d1']);
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), broken], {isResumable: true, maxAttempts: 2, takeRetry: (_nowMs, requests) => requests === 0}).slice(4), ['release', 'cut']);
});

test('a passed deadline gives 503 before the request is sent and 504 after that, and closes the connection once the response has begun', () => {
	const deadlinePassed: Step = {type: 'forward/stopped', cause: 'deadline'};
	assert.deepEqual(run([deadlinePassed]), ['hold -', 'release', '503 retry-after']);
	assert.deepEqual(run([...reservedAndPrefilled(), deadlinePassed]).slice(3), ['release', '504']);
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), deadlinePassed]).slice(4), ['release', 'cut']);
	assert.deepEqual(run([...reservedAndPrefilled(), {type: 'forward/stopped', cause: 'caller-gone'}, answered(1)]).slice(3), ['release']);
});

// Guards against a sound stream that is cut because its engine preempted it and no other engine had room.
test('a silent run goes on until another engine has reserved memory for it, and only if it is resumable and the retry budget allows it', () => {
	const resumable = {isResumable: true, maxAttempts: 2};
	const stalled: Step = {type: 'forward/stalled', attempt: 1, server: 'd1'};
	const found: Step = {type: 'forward/engine-found', attempt: 1, server: 'd1'};
	const notFound: Step = {
		type: 'forward/no-engine-found', attempt: 1, server: 'd1', isLost: false,
	};
	const progressed: Step = {type: 'forward/progressed', attempt: 1};
	const isOverdrawn = {takeRetry: (_nowMs: number, requests: number) => requests === 0};
	assert.deepEqual(run([...reservedAndPrefilled(), stalled, found], resumable).slice(3), ['seek -d1', 'switch-engine', 'prefill']);
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), stalled, found, answered(1)], resumable).slice(4), ['seek -d1', 'switch-engine', 'prefill']);
	assert.deepEqual(run([...reservedAndPrefilled(), stalled, notFound, stalled, answered(1)], resumable).slice(3), ['seek -d1', 'watch', 'seek -d1', 'relay']);
	assert.deepEqual(run([...reservedAndPrefilled(), stalled, {...notFound, isLost: true}], resumable).slice(3), ['seek -d1', 'release', 'hold -d1']);
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), stalled, progressed, found], resumable).slice(4), ['seek -d1', 'release-found']);
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), stalled, progressed, notFound], resumable).slice(4), ['seek -d1']);
	assert.deepEqual(run([...reservedAndPrefilled(), stalled, found, answered(1)], {...resumable, ...isOverdrawn}).slice(3), ['seek -d1', 'release-found', 'relay']);
	assert.deepEqual(run([...reservedAndPrefilled(), stalled, answered(1)]).slice(3), ['relay']);
	assert.deepEqual(run([...reservedAndPrefilled(), stalled, found, ...reservedAndPrefilled(2), answered(2), {...stalled, attempt: 2}], resumable).slice(-2), ['send', 'relay']);
});

test('a stream broken by an engine crash may wait for memory on a full pool for as long as a new request', () => {
	const broken: Step = {
		type: 'forward/broken', attempt: 1, server: 'd1', nowMs: 3000,
	};
	const noEngine: Step = {type: 'forward/no-engine', attempt: 2, nowMs: 3010};
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), broken, noEngine], {isResumable: true, maxAttempts: 2}).slice(4), ['release', 'hold -d1', 'wait']);
	assert.deepEqual(run([...reservedAndPrefilled(), answered(1), broken, {...noEngine, nowMs: 3600}], {isResumable: true, maxAttempts: 2}).slice(6), ['release', 'cut']);
});

test('events of an earlier attempt of a request are ignored', () => {
	const steps = [...reservedAndPrefilled(), answered(1, 503, true), {type: 'forward/prefilled', attempt: 1} as const, reservationRefused('d9', 1)];
	assert.deepEqual(run(steps).slice(3), ['release', 'hold -d1']);
});

test('the decode engine prefills the prompt itself if two prefill engines fail or none is available', () => {
	const failed: Step = {
		type: 'forward/prefill-failed', attempt: 1, server: 'p1',
	};
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}, failed, {...failed, server: 'p2'}]), ['hold -', 'prefill', 'prefill', 'send']);
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}, {
		type: 'forward/prefill-failed', attempt: 1, server: undefined,
	}]), ['hold -', 'prefill', 'send']);
});

test('a retry is charged to the retry budget as two requests: one to a prefill engine and one to a decode engine', () => {
	const requestCounts: number[] = [];
	const takeRetry = (_nowMs: number, count: number) => {
		requestCounts.push(count);
		return true;
	};

	run([...reservedAndPrefilled(), answered(1), {type: 'forward/broken', attempt: 1, server: 'd1'}], {isResumable: true, maxAttempts: 2, takeRetry});
	run([{type: 'forward/held', attempt: 1}, {
		type: 'forward/prefill-failed', attempt: 1, server: 'p1',
	}], {takeRetry});
	assert.deepEqual(requestCounts.filter(count => count > 0), [2]);
});

test('each failed prefill call is charged to the retry budget, since the engine may have received the prompt', () => {
	let failed = 0;
	const steps: Step[] = [{type: 'forward/held', attempt: 1}, ...['p1', 'p2'].map(server => ({
		type: 'forward/prefill-failed' as const, attempt: 1, server,
	}))];
	const effects = run(steps, {
		chargeFailedPrefill() {
			failed++;
		},
	});
	assert.deepEqual(effects, ['hold -', 'prefill', 'prefill', 'send']);
	assert.equal(failed, 2);
	// If the budget is overdrawn, a prefill call that fails could not be charged to it, so the decode engine prefills the prompt.
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}], {takeRetry: () => false}), ['hold -', 'send']);
	// A prefill on the decode engine would stall its streams, so a prefill engine that recently succeeded is called even if the budget is overdrawn.
	assert.deepEqual(run([{type: 'forward/held', attempt: 1}], {takeRetry: () => false, hasAcceptingPrefillEngine: () => true}), ['hold -', 'prefill']);
});

test('a request is rejected immediately if every engine is paused for longer than the request may wait, and the reason tells paused, full, busy and cold engines apart', () => {
	const refusal = (nowMs: number, resumesInMs?: number, isPrefillBusy = false, coldWaitMs?: number) => {
		const state = createModelForward({
			isResumable: false, maxAttempts: 1, memoryWaitPolicy: {maxWaitMs: 600, roundIntervalMs: 50, spareMemoryRatio: 0}, fullPoolRetryAfterMs: 2000,
			takeRetry: () => true, hasAcceptingPrefillEngine: () => false, chargeFailedPrefill: () => undefined,
		});
		reduceModelForward(state, {type: 'forward/start', nowMs: 0});
		const effects = reduceModelForward(state, {
			type: 'forward/no-engine', attempt: 1, nowMs, resumesInMs, isPrefillBusy, coldWaitMs,
		});
		return effects.map(effect => effect.type === 'forward/answer' ? effect.answer : effect.type);
	};

	assert.deepEqual(refusal(0, 2500), ['forward/release', {status: 503, reason: 'no engine takes work', retryAfterMs: 2500}]);
	assert.deepEqual(refusal(0, 300), ['forward/wait']);
	assert.deepEqual(refusal(700), ['forward/release', {status: 503, reason: 'no engine has room', retryAfterMs: 2000}]);
	assert.deepEqual(refusal(0, undefined, false, 3000), ['forward/release', {status: 503, reason: 'the servers have just started and take few requests', retryAfterMs: 1000}]);
	assert.deepEqual(refusal(0, undefined, false, 300), ['forward/wait'], 'a turn comes within the wait');
	assert.deepEqual(refusal(700, undefined, true), ['forward/release', {status: 503, reason: 'the prefill engines are busy', retryAfterMs: 2000}]);
});

test('an engine on which the request failed is asked again before the request is rejected because all others are cold', () => {
	const cold = {type: 'forward/no-engine' as const, attempt: 1, coldWaitMs: 3000};
	const steps: Step[] = [{type: 'forward/hold-failed', attempt: 1, server: 'd1'}, cold];
	assert.deepEqual(run(steps), ['hold -', 'hold -d1', 'wait']);
	assert.deepEqual(run([...steps, {type: 'forward/wake'}]), ['hold -', 'hold -d1', 'wait', 'hold -']);
	assert.deepEqual(run([...steps, {type: 'forward/wake'}, cold]).slice(4), ['release', '503 retry-after']);
});

// Guards against a request with a blocked prompt that is sent on, and against a refusal that says "not run" although an engine may have run the request.
test('a request whose prompt is blocked ends at once: as not run before its first send, and without that promise afterwards', () => {
	const blocked = (attempt: number): Step => ({
		type: 'forward/blocked', attempt, reason: 'blocked', retryAfterMs: 60_000,
	});
	assert.deepEqual(run([blocked(1), ...reservedAndPrefilled()]), ['hold -', 'release', '503 retry-after']);
	assert.deepEqual(run([...reservedAndPrefilled(), {
		type: 'forward/failed', attempt: 1, failure: {mayHaveRun: true, detail: 'closed'}, server: 'd1',
	}, blocked(2)], {isResumable: true, maxAttempts: 2}), ['hold -', 'prefill', 'send', 'release', 'hold -d1', 'release', '502']);
});

test('a request that yields to more urgent ones gives up its round after as many engines as it may ask, and its refusal carries the later retry', () => {
	const recorded: string[] = [];
	const round = {
		isSpareFirst: false, keptRatio: 1, maxEngines: 2, fullPoolRetryAfterMs: 5000,
	};
	const priority = {
		planRound: () => round,
		recordRefusedRound() {
			recorded.push('refused');
		},
		recordGranted(refusals: number) {
			recorded.push(`granted after ${refusals}`);
		},
	};
	const refusedTwice = [reservationRefused('d1'), reservationRefused('d2')];
	const steps: Step[] = [...refusedTwice, {type: 'forward/wake'}, reservationRefused('d1'), {type: 'forward/held', attempt: 1}];
	assert.deepEqual(run(steps, {priority}), ['no-spare hold -', 'no-spare hold -d1', 'wait', 'no-spare hold -', 'no-spare hold -d1', 'prefill']);
	assert.deepEqual(recorded, ['refused', 'granted after 1']);
	const state = createModelForward({
		isResumable: false, maxAttempts: 1, memoryWaitPolicy: {maxWaitMs: 0, roundIntervalMs: 50, spareMemoryRatio: 0}, fullPoolRetryAfterMs: 2000,
		priority, takeRetry: () => true, hasAcceptingPrefillEngine: () => false, chargeFailedPrefill: () => undefined,
	});
	const effects = [{type: 'forward/start'} as const, ...refusedTwice].flatMap(step => reduceModelForward(state, {...step, nowMs: 0}));
	assert.deepEqual(effects.at(-1), {type: 'forward/answer', answer: {status: 503, reason: 'no engine has room beside that kept for others', retryAfterMs: 5000}});
	recorded.splice(2);
	// An engine that failed or a busy prefill window shows no lack of memory.
	run([{type: 'forward/no-engine', attempt: 1, isPrefillBusy: true}], {priority});
	assert.equal(recorded.length, 2);
});
