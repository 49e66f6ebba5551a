import assert from 'node:assert/strict';
import {test} from 'node:test';
import {eventsPerVisit, TurnQueue} from './turn-queue.js';

/** Plays one turn in which each visit uses all events that it may, and returns the visited connections. */
function playTurn(queue: TurnQueue<string>): string[] {
	const visited: string[] = [];
	queue.beginTurn();
	for (let connection = queue.next(); connection !== undefined; connection = queue.next()) {
		visited.push(connection);
		queue.spend(eventsPerVisit);
		queue.add(connection);
	}

	return visited;
}

test('a turn ends after a bounded number of events, and the next one goes on with the connection that waits longest', () => {
	const queue = new TurnQueue<string>();
	const connections = Array.from({length: 60}, (_, i) => `c${i}`);
	for (const connection of connections) {
		queue.add(connection);
	}

	const first = playTurn(queue);
	assert.ok(first.length > 0 && first.length < connections.length);
	const visited = [...first];
	while (visited.length < connections.length) {
		visited.push(...playTurn(queue));
	}

	assert.deepEqual(visited.slice(0, connections.length), connections);
});

test('a single connection has all visits of a turn; a connection is queued once, and not at all when it is removed', () => {
	const queue = new TurnQueue<string>();
	queue.add('a');
	queue.add('a');
	assert.ok(playTurn(queue).length > 1);
	queue.remove('a');
	assert.equal(queue.isEmpty, true);
	assert.deepEqual(playTurn(queue), []);
});
