import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findBlock} from './blocks.js';
import {QuarantineModel} from './fixtures.js';
import type {ModelOptions} from './fixtures.js';
import {maxRequestIdLength} from './messages.js';

/** Time after the fifth crash from which on no more than `maxLaterRequests` with a crashing part may reach servers, in milliseconds. */
const contactMs = 3000;
const maxLaterRequests = 3;
const seeds = Array.from({length: 50}, (_, seed) => seed + 1);

function createModel(options: Partial<ModelOptions> = {}): QuarantineModel {
	return new QuarantineModel({
		processes: 5, servers: 6, seed: 1, crashingParts: ['deadly'], ...options,
	});
}

/** Sends a sound request; a few first parts are popular, most are rare. */
function sendSound(model: QuarantineModel): void {
	const first = model.random.next() < 0.5 ? model.random.integer(0, 3) : model.random.integer(3, 200);
	model.send({name: 'sound', parts: [`first${first}`]});
}

function blockedParts(model: QuarantineModel): string[] {
	return [...new Set([...model.processes.values()].flatMap(({blocks}) => [...blocks.keys()]))].sort();
}

function logsOf(model: QuarantineModel, message: string) {
	return model.logs.filter(log => log.message === message);
}

// Guards against one crashing part that takes down server after server, and against blocks of what its requests share with sound ones.
test('several crashing parts are blocked in time at all processes, amid crashes, lost messages and restarts, and sound requests are served', () => {
	for (const seed of seeds) {
		const deadly = ['deadly-a', 'deadly-b', 'deadly-c'];
		const model = createModel({
			seed, servers: 12, processes: 8, crashingParts: deadly, lossShare: 0.1,
		});
		let step = 0;
		model.run(30_000, 20, () => {
			step++;
			sendSound(model);
			if (step > 100 && step % 15 === 0) {
				model.send({name: 'deadly', parts: [`first${model.random.integer(0, 3)}`, model.random.pick(deadly)]});
			}

			if (step % 200 === 0) {
				model.crashServer();
			}

			if (step % 300 === 0) {
				model.startProcess(`vm${model.random.integer(0, 8)}`);
			}
		});
		for (const part of deadly) {
			const crashes = model.crashes.filter(crash => crash.part === part);
			const fifthMs = crashes[4]?.atMs ?? Infinity;
			const later = model.sent.filter(({request, atMs}) => request.parts.includes(part) && atMs > fifthMs + contactMs);
			assert.ok(later.length <= maxLaterRequests, `seed ${seed}, ${part}: ${later.length} later, ${crashes.length} crashes`);
		}

		const wronglyRefused = model.refused.filter(({request}) => request.name === 'sound');
		assert.ok(wronglyRefused.length <= model.sent.length / 100, `seed ${seed}: ${wronglyRefused.length} sound requests refused, blocked ${blockedParts(model).join(' ')}`);
	}
});

// Guards against a request that comes for longer than a block lasts, and crashes servers each time the block has ended.
test('the block of a request is extended while the request still comes, and ends once it has not come for as long as a block lasts', () => {
	const model = createModel({crashingParts: ['req:deadly']});
	model.run(200_000, 10_000, () => {
		model.send({name: 'deadly', parts: ['req:deadly', 'first']}, {tries: 1});
	});
	assert.equal(model.crashes.length, 2);
	model.run(61_000);
	assert.deepEqual(blockedParts(model), []);
});

// Guards against a request that comes so rarely that its crashes are forgotten in between.
test('a request that crashes a server every few minutes is blocked', () => {
	const model = createModel({crashingParts: ['req:deadly']});
	model.run(720_000, 180_000, () => {
		model.send({name: 'deadly', parts: ['req:deadly', 'first']}, {tries: 1});
	});
	assert.ok(model.crashes.length <= 3, `${model.crashes.length} crashes`);
});

// Guards against old crashes that block a part again, although no server has crashed on it since its block has ended.
test('the crashes that led to a block do not count once it has ended', () => {
	const model = createModel({crashingParts: ['req:deadly', 'req:other']});
	model.send({name: 'deadly', parts: ['req:deadly', 'first']});
	model.run(62_000);
	assert.deepEqual(blockedParts(model), []);
	model.send({name: 'other', parts: ['req:other', 'first']}, {tries: 1});
	model.run(1000);
	assert.deepEqual(blockedParts(model), []);
});

// Guards against a request that crashes servers just after its caller has left each time, so that no answer breaks off.
test('a request that is given up before each crash is blocked in the end', () => {
	const model = createModel({crashingParts: ['req:deadly']});
	let crashes = 0;
	for (let i = 0; i < 10; i++) {
		if (findBlock(model.processes.get('vm0')!, ['req:deadly'], model.nowMs)) {
			break;
		}

		crashes++;
		model.dispatch('vm0', {
			type: 'quarantine/attempt-started', attempt: i, server: `s${i}`, requestId: 'r', parts: ['req:deadly'],
		});
		model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt: i, outcome: 'stopped'});
		model.run(100);
		model.dispatch('vm0', {type: 'quarantine/server-lost', server: `s${i}`});
		model.run(3000);
	}

	assert.equal(crashes, 4);
});

// Guards against news that peers drop as a whole, since a caller chose a long id.
test('a crash report with a long request id reaches the other processes', () => {
	const model = createModel({processes: 2});
	model.dispatch('vm0', {
		type: 'quarantine/attempt-started', attempt: 1, server: 's1', requestId: 'r'.repeat(1000), parts: ['req:a'],
	});
	model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt: 1, outcome: 'broken'});
	model.dispatch('vm0', {type: 'quarantine/server-lost', server: 's1'});
	for (const {requestId} of model.processes.get('vm0')!.reports.values()) {
		assert.equal(requestId.length, maxRequestIdLength);
	}

	assert.equal(model.processes.get('vm0')!.reports.size, 1);
});

// Guards against requests that crowd out what is known of prompt parts.
test('many different requests do not make the quarantine forget that a prompt part is sound', () => {
	const model = createModel({processes: 1});
	for (let i = 0; i < 5000; i++) {
		model.dispatch('vm0', {
			type: 'quarantine/attempt-started', attempt: i, server: 's1', requestId: 'r', parts: [`req:${i}`, ...(i === 0 ? ['first'] : [])],
		});
		model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt: i, outcome: 'completed'});
	}

	const {soundMs, soundRequestsMs} = model.processes.get('vm0')!;
	assert.ok(soundMs.has('first'));
	assert.ok(soundRequestsMs.size <= 4096);
});

// Guards against requests that are suspected since they met a server that was down already.
test('requests that a server did not run are no evidence', () => {
	const model = createModel();
	for (let i = 0; i < 6; i++) {
		model.dispatch('vm0', {
			type: 'quarantine/attempt-started', attempt: i, server: `s${i}`, requestId: 'r', parts: ['req:sound'],
		});
		model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt: i, outcome: 'inconclusive'});
		model.dispatch('vm0', {type: 'quarantine/server-lost', server: `s${i}`});
		model.run(500);
	}

	assert.deepEqual(model.logs, []);
});

// Guards against a process that takes an extended block for the ended one that it has removed.
test('a process that was cut off while a block was extended refuses the request again within the contact time', () => {
	const model = createModel({processes: 12, crashingParts: ['req:deadly']});
	const deadly = {name: 'deadly', parts: ['req:deadly']};
	model.send(deadly, {process: 'vm0'});
	model.run(1000);
	model.cutOff.add('vm3');
	model.run(100_000, 10_000, () => {
		model.send(deadly, {process: 'vm0'});
	});
	assert.equal(findBlock(model.processes.get('vm3')!, deadly.parts, model.nowMs), undefined);
	model.cutOff.clear();
	model.run(contactMs);
	assert.ok(findBlock(model.processes.get('vm3')!, deadly.parts, model.nowMs));
	assert.equal(model.crashes.length, 2);
});

// Guards against a decision without the evidence of a process that does not know yet that its server is lost.
test('a process reports its broken request as soon as another one reports the crash of the server', () => {
	const model = createModel();
	for (const [i, vm] of ['vm0', 'vm1'].entries()) {
		model.dispatch(vm, {
			type: 'quarantine/attempt-started', attempt: i, server: 's1', requestId: 'r', parts: [`req:${vm}`],
		});
		model.dispatch(vm, {type: 'quarantine/attempt-ended', attempt: i, outcome: 'broken'});
	}

	model.dispatch('vm0', {type: 'quarantine/server-lost', server: 's1'});
	model.run(100);
	const reporters = logsOf(model, 'server crashed during a request').map(({fields}) => fields.reportedBy);
	assert.deepEqual([...new Set(reporters)], ['vm0', 'vm1']);
});

// Guards against suspicions that rest on nothing but bad luck: requests that were on several servers when these crashed by themselves.
test('servers that crash by themselves lead to hardly any blocks', () => {
	for (const seed of seeds) {
		const model = createModel({seed, servers: 8});
		let step = 0;
		model.run(30_000, 20, () => {
			sendSound(model);
			if (++step % 75 === 0) {
				model.crashServer();
			}
		});
		assert.ok(model.refused.length <= model.sent.length / 100, `seed ${seed}: ${model.refused.length} refused, blocked ${blockedParts(model).join(' ')}`);
	}
});

// Guards against messages and evidence where connections break but no server has crashed.
test('broken requests whose server can still be reached lead to no report, and nothing is sent', () => {
	const model = createModel();
	for (let i = 0; i < 20; i++) {
		model.dispatch('vm0', {
			type: 'quarantine/attempt-started', attempt: i, server: `s${i % 6}`, requestId: 'r', parts: ['p'],
		});
		model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt: i, outcome: 'broken'});
	}

	model.run(10_000);
	model.dispatch('vm0', {type: 'quarantine/server-lost', server: 's1'});
	model.run(10_000);
	assert.equal(model.sentMessages, 0);
	assert.deepEqual(model.logs, []);
});

// Guards against evidence that is missed because a process learns of the crash before its own connection breaks.
test('a request that breaks shortly after its server was found to be lost is reported', () => {
	const model = createModel();
	model.dispatch('vm0', {
		type: 'quarantine/attempt-started', attempt: 1, server: 's1', requestId: 'r', parts: ['p'],
	});
	model.dispatch('vm0', {type: 'quarantine/server-lost', server: 's1'});
	model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt: 1, outcome: 'broken'});
	assert.equal(logsOf(model, 'server crashed during a request').length, 1);
});

// Guards against suspicions that never end, and against crashing requests that come back again and again after a block has ended.
test('a block ends by itself, and one further crash renews it for twice the time', () => {
	const model = createModel();
	model.send({name: 'deadly', parts: ['deadly']});
	model.run(1000);
	assert.deepEqual(blockedParts(model), ['deadly']);
	model.run(61_000);
	assert.deepEqual(blockedParts(model), []);
	model.send({name: 'deadly', parts: ['deadly']}, {tries: 1});
	model.run(1000);
	assert.deepEqual(blockedParts(model), ['deadly']);
	model.run(100_000);
	assert.deepEqual(blockedParts(model), ['deadly']);
	model.run(30_000);
	assert.deepEqual(blockedParts(model), []);
});

// Guards against a wrong suspicion that outlives its block: the next server that crashes by itself would renew it.
test('output on a part after its block has ended clears the part at all processes', () => {
	const model = createModel({crashingParts: []});
	const request = {name: 'bystander', parts: ['part']};
	for (let i = 0; i < 2; i++) {
		model.send(request, {tries: 1});
		model.crashRunning();
		model.run(100);
	}

	model.run(1000);
	assert.deepEqual(blockedParts(model), ['part']);
	model.run(61_000);
	model.send(request);
	model.run(5000);
	model.send(request, {tries: 1});
	model.crashRunning();
	model.run(1000);
	assert.deepEqual(blockedParts(model), []);
});

// Guards against refusals of a part that only came with the crashing one: it is told apart as soon as it appears without it.
test('parts that always came together are blocked together, and a part that is then seen alone is released', () => {
	const model = createModel();
	model.send({name: 'deadly', parts: ['first', 'deadly']});
	model.run(1000);
	assert.deepEqual(blockedParts(model), ['deadly,first']);
	model.send({name: 'sound', parts: ['first']});
	model.send({name: 'deadly', parts: ['other', 'deadly']}, {tries: 1});
	model.run(5000);
	assert.deepEqual(blockedParts(model), ['deadly']);
	assert.equal(model.refused.length, 0);
});

// Guards against processes without the news, which would let every restarted process crash servers anew.
test('a process that starts after the crashes refuses the parts that the others have blocked', () => {
	const model = createModel({processes: 3});
	model.send({name: 'deadly', parts: ['deadly']});
	model.run(2000);
	model.startProcess('vm2');
	model.run(100);
	assert.ok(findBlock(model.processes.get('vm2')!, ['deadly', 'x'], model.nowMs));
	assert.equal(findBlock(model.processes.get('vm2')!, ['x'], model.nowMs), undefined);
});

// Guards against a process that missed the news behind a cut, and goes on crashing servers once it is in touch again.
test('a process that was cut off while the others blocked a part refuses it within the contact time', () => {
	for (const seed of seeds) {
		const model = createModel({processes: 12, seed});
		model.cutOff.add('vm3');
		model.send({name: 'deadly', parts: ['deadly']}, {process: 'vm0'});
		model.run(21_000);
		assert.equal(findBlock(model.processes.get('vm3')!, ['deadly'], model.nowMs), undefined);
		model.cutOff.clear();
		model.run(contactMs);
		assert.ok(findBlock(model.processes.get('vm3')!, ['deadly'], model.nowMs), `seed ${seed}`);
	}
});

// Guards against a state that grows with the number of prompts, reports or blocks.
test('the state stays bounded whatever the number of parts, reports and blocks', () => {
	const model = createModel({processes: 2});
	for (let i = 0; i < 2000; i++) {
		for (const attempt of [2 * i, (2 * i) + 1]) {
			model.dispatch('vm0', {
				type: 'quarantine/attempt-started', attempt, server: `s${attempt}`, requestId: `r${i}`, parts: [`p${i}`],
			});
			model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt, outcome: 'broken'});
			model.dispatch('vm0', {type: 'quarantine/server-lost', server: `s${attempt}`});
		}

		model.run(20);
	}

	assert.ok(model.processes.get('vm0')!.reports.size <= 256);
	model.run(61_000);
	assert.equal(model.processes.get('vm0')!.reports.size, 0);
	for (let i = 0; i < 10_000; i++) {
		model.dispatch('vm0', {
			type: 'quarantine/attempt-started', attempt: i, server: 's', requestId: 'r', parts: [`q${i}`],
		});
		model.dispatch('vm0', {type: 'quarantine/attempt-ended', attempt: i, outcome: 'completed'});
	}

	const state = model.processes.get('vm0')!;
	for (const [name, size, limit] of [
		['blocks', state.blocks.size, 64],
		['sound parts', state.soundMs.size, 4096],
		['pending', state.pending.length, 256],
		['news', state.newsItems.size, 512],
		['released', state.releasedMs.size, 64],
		['attempts', state.attempts.size, 0],
	] as const) {
		assert.ok(size <= limit, `${name}: ${size}`);
	}
});
