import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {hashText} from '../../common/core/fnv.js';
import {SeededRandom} from '../../common/core/random.js';
import {normalizeParts} from '../../common/quarantine/parts.js';
import {
	bearerHeaders, chatRequestInit, parseEvents, startHarness, parseStreamText, waitUntil,
} from './testing/harness.js';
import type {EngineScript} from './testing/upstreams.js';
import {endLine, eventLine, sendJson} from './testing/upstreams.js';

const words = ['one ', 'two ', 'three ', 'four'];
const fullText = words.join('');

type DecodeHook = NonNullable<EngineScript['overrides']['decode']>;
type Engine = {readonly script: EngineScript};

/** Injects a fault into the first decode stream of an engine; later streams are normal. Returns an array to which the `after` value of each decode call is added. */
function failFirstStream(engine: Engine, injectFault: (res: ServerResponse, requestId: string) => void): number[] {
	const resumePositions: number[] = [];
	engine.script.texts = words;
	const hook: DecodeHook = (res, {requestId, after}) => {
		resumePositions.push(after);
		if (resumePositions.length > 1) {
			return false;
		}

		res.writeHead(200, {'content-type': 'text/event-stream'});
		injectFault(res, requestId);
		return true;
	};

	engine.script.overrides.decode = hook;
	return resumePositions;
}

function write(res: ServerResponse, ...lines: string[]): void {
	res.write(lines.join(''));
}

const faults: Readonly<Record<string, (res: ServerResponse, id: string) => void>> = {
	'is cut off'(res, id) {
		res.write(eventLine(id, 1, words[0]!) + eventLine(id, 2, words[1]!), () => res.destroy());
	},
	'ends without an end marker'(res, id) {
		res.end(eventLine(id, 1, words[0]!) + eventLine(id, 2, words[1]!));
	},
	'stalls'(res, id) {
		write(res, eventLine(id, 1, words[0]!), eventLine(id, 2, words[1]!));
	},
	'skips an event'(res, id) {
		write(res, eventLine(id, 1, words[0]!), eventLine(id, 2, words[1]!), eventLine(id, 4, words[3]!), endLine(id, 5));
	},
	'contains an event of another request'(res, id) {
		write(res, eventLine(id, 1, words[0]!), eventLine(id, 2, words[1]!), eventLine('entry-1-7-99.1', 3, 'WRONG'), endLine(id, 5));
	},
	'repeats events'(res, id) {
		write(res, eventLine(id, 1, words[0]!), eventLine(id, 1, words[0]!), eventLine(id, 2, words[1]!));
		res.destroy();
	},
	'contains an invalid event'(res, id) {
		write(res, eventLine(id, 1, words[0]!), eventLine(id, 2, words[1]!), 'data: {"n": "x"}\n\n');
	},
};

for (const [fault, injectFault] of Object.entries(faults)) {
	test(`the caller gets the complete text exactly once when a decode stream ${fault}`, async t => {
		const {url, decode1} = await startHarness(t);
		const resumePositions = failFirstStream(decode1, injectFault);
		const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}));
		const body = await res.text();
		assert.equal(parseStreamText(body), fullText);
		assert.equal(parseEvents(body).at(-1), '[DONE]');
		assert.ok(resumePositions[1] === 2 || fault === 'repeats events', 'the stream resumes after the last delivered event');
		const ports = new Set(decode1.server.requests.filter(({url}) => url === '/v1/decode').map(({port}) => port));
		assert.equal(ports.size, 2, 'the stream resumes on a new connection');
	});
}

test('a stream that cannot be resumed ends with an error and without the end marker', async t => {
	const {url, decode1} = await startHarness(t);
	const resumePositions = failFirstStream(decode1, faults['is cut off']!);
	const faultyDecode = decode1.script.overrides.decode!;
	decode1.script.overrides.decode = async (res, call) => {
		if (resumePositions.length === 0) {
			return faultyDecode(res, call);
		}

		sendJson(res, 404, {code: 'unknown-request'});
		return true;
	};

	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}));
	const body = await res.text();
	assert.equal(parseStreamText(body), 'one two ');
	assert.match(parseEvents(body).at(-1)!, /"code":"engine-failed","run":"unknown"/);
});

test('a failed KV cache transfer is retried on another decode engine without a second prefill', async t => {
	const {
		url, prefill, decode1, decode2, services,
	} = await startHarness(t);
	decode1.script.overrides.import = res => {
		sendJson(res, 500, {code: 'link-failed'});
		return true;
	};

	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit());
	assert.equal(res.status, 200);
	assert.equal(prefill.server.requests.filter(({url}) => url === '/v1/prefill').length, 1);
	assert.equal(decode2.server.requests.filter(({url}) => url === '/v1/decode').length, 1);
	await waitUntil(() => decode1.heldRequestIds.size === 0 && prefill.heldRequestIds.size === 0);
	assert.deepEqual(services.scheduler.progressReports.map(({phase}) => phase), ['prefilled', 'transferred', 'first-token', 'ended']);
});

test('a stalled KV cache transfer is abandoned before the prefill result expires', async t => {
	const {url, prefill, decode1} = await startHarness(t);
	decode1.script.overrides.import = () => true;
	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit());
	assert.equal(res.status, 200);
	assert.equal(prefill.server.requests.filter(({url}) => url === '/v1/prefill').length, 1);
	await waitUntil(() => decode1.heldRequestIds.size === 0);
});

test('a prefill result that expired is computed once more, and the request completes', async t => {
	const {url, prefill, decode1, services} = await startHarness(t);
	let imports = 0;
	decode1.script.overrides.import = res => {
		imports++;
		if (imports > 1) {
			return false;
		}

		sendJson(res, 410, {code: 'expired'});
		return true;
	};

	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit());
	assert.equal(res.status, 200);
	assert.equal(services.metrics.counts.get('prefill_tokens_wasted_total'), 4);
	await waitUntil(() => prefill.cancelledRequestIds.length === 2 && prefill.heldRequestIds.size === 0);
});

test('a prefill whose connection stalls is detected as lost and repeated', async t => {
	const {url, prefill} = await startHarness(t, {profile: {latency: {firstToken: '20s'}, timeout: '20s'}});
	let prefills = 0;
	prefill.script.overrides.prefill = () => {
		prefills++;
		return prefills === 1;
	};

	// The fake engine has no list of its requests, so it looks like an engine that never received the call.
	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit());
	assert.equal(res.status, 200);
	assert.equal(prefills, 2);
});

const holdInPhase: Readonly<Record<string, (harness: Awaited<ReturnType<typeof startHarness>>, reached: () => void) => void>> = {
	placement({services}, reached) {
		services.scheduler.placementGate = new Promise(() => {
			// The placement never completes.
		});
		reached();
	},
	prefill({prefill}, reached) {
		prefill.script.overrides.prefill = () => {
			reached();
			return true;
		};
	},
	transfer({decode1}, reached) {
		decode1.script.overrides.import = () => {
			reached();
			return true;
		};
	},
	decoding({decode1}, reached) {
		decode1.script.overrides.decode = (res, {requestId}) => {
			res.writeHead(200, {'content-type': 'text/event-stream'});
			res.write(eventLine(requestId, 1, 'one'), reached);
			return true;
		};
	},
};

for (const [phase, hold] of Object.entries(holdInPhase)) {
	test(`no engine keeps memory for a caller that disconnected during ${phase}`, async t => {
		const harness = await startHarness(t);
		const abort = new AbortController();
		const reached = new Promise<void>(resolve => {
			hold(harness, resolve);
		});
		// The first cancel to each engine is not acknowledged and has to be repeated.
		for (const engine of [harness.prefill, harness.decode1]) {
			let cancels = 0;
			engine.script.overrides.cancel = res => {
				cancels++;
				if (cancels > 1) {
					return false;
				}

				res.destroy();
				return true;
			};
		}

		const answer = fetch(`${harness.url}/v1/chat/completions`, {...chatRequestInit({stream: true}), signal: abort.signal});
		await reached;
		await waitUntil(() => harness.services.scheduler.placeRequests.length === 1);
		abort.abort();
		await assert.rejects(async () => {
			const res = await answer;
			await res.text();
		});
		await waitUntil(() => harness.entry.runningCount === 0 && harness.prefill.heldRequestIds.size === 0 && harness.decode1.heldRequestIds.size === 0);
		if (phase !== 'placement') {
			assert.deepEqual(harness.services.scheduler.progressReports.at(-1)?.phase, 'ended');
		}
	});
}

test('a prefill that reaches its engine after the cancel of its request is freed by a second cancel', async t => {
	const {url, prefill} = await startHarness(t);
	const abort = new AbortController();
	prefill.script.overrides.prefill = async (_res, {requestId}) => {
		prefill.heldRequestIds.delete(requestId);
		abort.abort();
		await waitUntil(() => prefill.cancelledRequestIds.length === 1);
		prefill.heldRequestIds.add(requestId);
		return true;
	};

	await assert.rejects(fetch(`${url}/v1/chat/completions`, {...chatRequestInit(), signal: abort.signal}));
	await waitUntil(() => prefill.cancelledRequestIds.length === 2);
	assert.equal(prefill.heldRequestIds.size, 0);
});

test('a request placed after the view became stale does not run, and its reservation is released', async t => {
	const {url, services, prefill} = await startHarness(t);
	let open!: () => void;
	services.scheduler.placementGate = new Promise(resolve => {
		open = resolve;
	});
	const waiting = fetch(`${url}/v1/chat/completions`, chatRequestInit());
	await waitUntil(() => services.scheduler.placeRequests.length === 1);
	services.access.isViewFresh = false;
	open();
	const res = await waiting;
	const document = await res.json() as {code: string; run: string};
	assert.deepEqual([document.code, document.run], ['control-unreachable', 'not-run']);
	assert.deepEqual(services.scheduler.progressReports.map(({phase}) => phase), ['ended']);
	assert.equal(prefill.server.requests.length, 0);
});

test('withdrawing a key ends its stream and frees the engines, but does not affect the stream of another key', async t => {
	const harness = await startHarness(t);
	const {url, services, decode1} = harness;
	const reached = new Promise<void>(resolve => {
		holdInPhase.decoding!(harness, resolve);
	});
	const stream = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}));
	await reached;
	const other = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}, {authorization: 'Bearer key-b'}));
	await services.access.withdraw('key-a');
	const streamed = await stream.text();
	assert.match(parseEvents(streamed).at(-1)!, /key-withdrawn/);
	await waitUntil(() => decode1.heldRequestIds.size === 1);
	assert.equal(harness.entry.runningCount, 1, 'the stream of the other key continues');
	const refused = await fetch(`${url}/v1/chat/completions`, chatRequestInit());
	assert.equal(refused.status, 401);
	await other.body!.cancel();
	await waitUntil(() => decode1.heldRequestIds.size === 0);
});

test('callers that choose the same request id each get their own response', async t => {
	const {url, decode1} = await startHarness(t);
	decode1.script.overrides.decode = async (res, {requestId}) => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.end(eventLine(requestId, 1, requestId) + endLine(requestId, 2));
		return true;
	};

	const headers = {...bearerHeaders, 'x-request-id': 'same'};
	const answers = await Promise.all([1, 2, 3].map(async () => {
		const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}, headers));
		assert.equal(res.headers.get('x-request-id'), 'same');
		const body = await res.text();
		return parseStreamText(body);
	}));
	assert.equal(new Set(answers).size, 3);
});

test('a caller that does not read its response is disconnected, and its engine is freed', async t => {
	const {url, decode1, entry} = await startHarness(t, {limits: {slowReaderTimeoutMs: 100}});
	decode1.script.overrides.decode = async (res, {requestId}) => {
		res.writeHead(200, {'content-type': 'text/event-stream'});
		for (let n = 1; !res.destroyed; n++) {
			res.write(eventLine(requestId, n, 'x'.repeat(10_000)));
			await waitUntil(() => res.destroyed || !res.writableNeedDrain);
		}

		return true;
	};

	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}));
	assert.equal(res.status, 200);
	await waitUntil(() => entry.runningCount === 0 && decode1.heldRequestIds.size === 0);
	await assert.rejects(async () => res.text());
});

test('concurrent streams with random faults each deliver only their own text, end with an error if incomplete, and leave no prefill result behind', async t => {
	const {url, prefill, decode1, decode2, services} = await startHarness(t);
	const random = new SeededRandom(5);
	const answerWithFaults = (held: Set<string>): EngineScript['overrides']['decode'] => (res, {requestId, after}) => {
		const own = Array.from({length: 20}, (_, i) => eventLine(requestId, i + 1, `${requestId}/${i} `));
		const lines = [...own, endLine(requestId, 21)].slice(Math.max(0, after - 1));
		const fault = random.integer(0, 5);
		const at = random.integer(1, lines.length + 1);
		res.writeHead(200, {'content-type': 'text/event-stream'});
		switch (fault) {
			case 0: {
				res.write(lines.slice(0, at).join(''), () => res.destroy());

				break;
			}

			case 1: {
				res.end([...lines.slice(0, at), ...lines.slice(at + 1)].join(''));

				break;
			}

			case 2: {
				res.end([...lines.slice(0, at), eventLine('entry-1-7-1.9', after + at, 'WRONG'), ...lines.slice(at)].join(''));

				break;
			}

			default: {
				res.end(lines.join(''));
				held.delete(requestId);
			}
		}

		return true;
	};

	// Both engines inject faults, since a slow import on the first engine moves its request to the second engine.
	for (const engine of [decode1, decode2]) {
		engine.script.overrides.decode = answerWithFaults(engine.heldRequestIds);
	}

	await Promise.all(Array.from({length: 100}, async () => {
		const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}));
		const body = await res.text();
		const pieces = parseStreamText(body).trim().split(' ');
		const own = pieces[0]!.split('/')[0]!;
		assert.deepEqual(pieces.slice(0, 20), Array.from({length: pieces.length}, (_, i) => `${own}/${i}`));
		// A stream that was resumed several times in a row without new text is abandoned and ends with an error.
		assert.equal(parseEvents(body).at(-1) === '[DONE]' ? pieces.length === 20 : parseEvents(body).at(-1)!.includes('engine-failed'), true);
	}));
	assert.equal(services.metrics.counts.get('stream_resumptions_total')! > 20, true);
	await waitUntil(() => prefill.heldRequestIds.size === 0);
});

test('a request waits for its customer\'s rate limit only as long as it can still meet its time-to-first-token target', async t => {
	const firstTokenMs = 1500;
	const prefillMs = 400;
	const {url, services, prefill} = await startHarness(t, {profile: {maxWait: '3s', latency: {firstToken: `${firstTokenMs}ms`, betweenTokens: '69ms'}}});
	prefill.script.overrides.prefill = async () => {
		await sleep(prefillMs);
		return false;
	};

	for (let i = 0; i < 2; i++) {
		const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit());
		await res.text();
	}

	const [first, second] = services.access.maxWaitsMs;
	assert.ok(first! <= firstTokenMs, 'the wait is limited by the time-to-first-token target, not by maxWait alone');
	// After one request, the estimate is the mean of its time to first text, which is at least `prefillMs`, and the initial estimate of 0.
	assert.ok(second! <= firstTokenMs - (prefillMs / 2), 'the estimated time to the first token is subtracted from the target');
});

// Guards against a prompt that crashes one engine after the other, because each caller that asks again is served anew.
test('a prompt on which two engines crashed is refused as not run before it reaches an engine, and other prompts are not', async t => {
	const {url, services, prefill, decode1, decode2} = await startHarness(t);
	for (const engine of [decode1, decode2]) {
		engine.script.overrides.decode = res => {
			services.scheduler.decodeEngines = ['decode-2'];
			res.destroy();
			engine.server.close();
			return true;
		};
	}

	const crashing = [{role: 'system', content: 'The rules'}, {role: 'user', content: 'Crash'}];
	const first = await fetch(`${url}/v1/chat/completions`, chatRequestInit({messages: crashing}));
	assert.equal((await first.json() as {run: string}).run, 'unknown');
	await waitUntil(() => services.quarantine.findBlock(normalizeParts([hashText('system: The rules\n'), hashText('user: Crash\n')])) !== undefined);
	const prefills = prefill.server.requests.length;
	const second = await fetch(`${url}/v1/chat/completions`, chatRequestInit({messages: [...crashing, {role: 'user', content: 'Again'}]}));
	assert.equal(second.status, 503);
	assert.ok(Number(second.headers.get('retry-after')) > 0);
	const {type, run} = await second.json() as {type: string; run: string};
	assert.match(type, /prompt-blocked/);
	assert.equal(run, 'not-run');
	assert.equal(prefill.server.requests.length, prefills);
	await fetch(`${url}/v1/chat/completions`, chatRequestInit({messages: [crashing[0], {role: 'user', content: 'Hello'}]}));
	assert.ok(prefill.server.requests.length > prefills);
});
