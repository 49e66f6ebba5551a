import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findCulprits} from './crash-analysis.js';
import type {CrashReport} from './types.js';

function createReport(fields: Partial<CrashReport> & Pick<CrashReport, 'server' | 'parts'>): CrashReport {
	return {
		id: `${fields.server} ${fields.parts.join(' ')}`, requestId: 'r', vm: 'vm', hasOutput: false, atMs: 1000, ...fields,
	};
}

function culpritParts(reports: readonly CrashReport[], soundMs: Readonly<Record<string, number>> = {}): string[] {
	return findCulprits(reports, part => soundMs[part]).map(({parts}) => parts.join(' ')).sort();
}

const deadlyReports = ['s1', 's2'].map(server => createReport({server, parts: ['deadly']}));

// Guards against the block of a request that ran on both servers by chance and had already got output.
test('a request that had got output is not suspected in place of one that had not', () => {
	const bystander = ['s1', 's2'].map(server => createReport({server, parts: ['a-bystander'], hasOutput: true}));
	assert.deepEqual(culpritParts([...bystander, ...deadlyReports]), ['deadly']);
});

// Guards against processes that block different parts, since the reports reached them in different orders, and against a wrong block that stays.
test('of two requests with the same evidence every process suspects the same, and the next crash shows the right one', () => {
	const bystander = ['s1', 's2'].map(server => createReport({server, parts: ['a-bystander']}));
	const reports = [...bystander, ...deadlyReports];
	assert.deepEqual(culpritParts(reports), culpritParts([...reports].reverse()));
	assert.deepEqual(culpritParts([...reports, createReport({server: 's3', parts: ['deadly']})]), ['deadly']);
});

// Guards against one of several crashing parts that hides behind another, and against a shared first part that is blamed for all of them.
test('each of several crashing parts is found, and a first part that has got output in between is not', () => {
	const reports = [1, 2, 3].flatMap(i => ['x', 'y'].map(part => createReport({server: `${part}${i}`, parts: ['first', part], atMs: i * 1000})));
	assert.deepEqual(culpritParts(reports, {first: 2500}), ['x', 'y']);
});

// Guards against crashes of a server that starts again under its key and is counted once.
test('two crashes of a server with a restart between them count twice', () => {
	const reports = [1000, 5000].map(atMs => createReport({
		id: `${atMs}`, server: 's1', parts: ['deadly'], atMs,
	}));
	assert.deepEqual(culpritParts(reports), ['deadly']);
	assert.deepEqual(culpritParts(reports.map(report => ({...report, atMs: 1000}))), []);
});

// Guards against the block of a request that ran beside the crashing one, wherever that was sent.
test('of different requests that explain the same crashes none is held responsible, unless the crashes go on', () => {
	const reportsOf = (servers: readonly string[]) => servers.flatMap((server, i) => ['req:deadly', 'req:beside'].map(part => createReport({server, parts: [part], atMs: i * 1000})));
	assert.deepEqual(culpritParts(reportsOf(['s1', 's2'])), []);
	assert.deepEqual(culpritParts(reportsOf(['s1', 's2', 's3'])), []);
	assert.equal(culpritParts(reportsOf(['s1', 's2', 's3', 's4'])).length, 1);
});

// Guards against the block of a request that ran beside two crashing ones, one after the other.
test('a request that explains part of the crashes of another one is not held responsible', () => {
	const reports = [['s1', 'req:a'], ['s2', 'req:a'], ['s2', 'req:beside'], ['s3', 'req:beside'], ['s3', 'req:b']]
		.map(([server, part]) => createReport({server: server!, parts: [part!]}));
	assert.deepEqual(culpritParts(reports), []);
	assert.deepEqual(culpritParts([...reports, createReport({server: 's4', parts: ['req:a']})]), ['req:a']);
});

// Guards against refusals of all requests with a part, where one request alone explains the crashes.
test('a request and its prompt part are held responsible together until another request with the part crashes a server', () => {
	const reports = ['s1', 's2'].map(server => createReport({server, parts: ['req:a', 'part']}));
	const other = createReport({server: 's2', parts: ['req:b', 'part']});
	assert.deepEqual(culpritParts(reports), ['part req:a']);
	assert.deepEqual(culpritParts([...reports, other]), ['part req:a']);
	assert.deepEqual(culpritParts([...reports, other, createReport({server: 's3', parts: ['req:c', 'part']})]), ['part']);
});

// Guards against crashes of a server that keeps its id which are taken for one, since reports about them follow each other closely.
test('crashes of a server that follow each other within two seconds are told apart', () => {
	const reports = [0, 1, 2, 3].map(i => createReport({
		id: `${i}`, server: 's1', parts: ['req:deadly'], atMs: i * 1900,
	}));
	assert.deepEqual(culpritParts(reports), ['req:deadly']);
});

// Guards against the block of a stream that had just begun beside one that crashes engines late, and that is not suspected yet.
test('a request is not held responsible for crashes that another one, with too little evidence of its own, explains as well', () => {
	const reports = ['s1', 's2'].flatMap(server => ['req:beside', 'late req:deadly'].map(part => createReport({server, parts: [part], hasOutput: true})));
	assert.deepEqual(culpritParts(reports), []);
});

// Guards against an hour without a request that many callers send, after all servers of its service have failed at once.
test('a request known to be sound is not held responsible for servers that all fail at once', () => {
	const servers = ['s1', 's2', 's3', 's4', 's5', 's6'];
	const soundBefore = Object.fromEntries([['req:popular', 900]]);
	const reports = servers.flatMap(server => ['req:popular', `req:${server}`].map(part => createReport({server, parts: [part]})));
	assert.deepEqual(culpritParts(reports, soundBefore), []);
	const again = createReport({server: 's7', parts: ['req:popular'], atMs: 3000});
	assert.deepEqual(culpritParts([...reports, again], soundBefore), ['req:popular']);
});
