import assert from 'node:assert/strict';
import {test} from 'node:test';
import {applyCommand} from '../control/apply.js';
import type {SharedConfiguration} from '../configuration/types.js';
import {changesSince, readViewPage} from '../control/queries.js';
import {createReplicatedState} from '../control/state.js';
import {
	addViewPage, applyChange, copyView, createMutableView,
} from './view.js';

const configuration = {tenants: {}} as unknown as SharedConfiguration;
const decode = () => configuration;

test('an evacuated zone is in the view that a process reads at its start and in the changes that it follows', () => {
	const state = createReplicatedState();
	const set = (changeId: string, name: string, draining: boolean) => applyCommand(state, {
		type: 'drain.set', changeId, target: 'zone', name, draining,
	});
	applyCommand(state, {
		type: 'config.publish', version: 1, source: new Uint8Array(1), configuration: new Uint8Array(1),
	});
	set('a', 'z1', true);
	const started = addViewPage(undefined, readViewPage(state), decode).view;
	assert.deepEqual([...copyView(started)!.evacuatedZones], ['z1']);
	const following = createMutableView();
	const follow = () => {
		for (const change of changesSince(state, following.revision)!) {
			applyChange(following, change, decode);
		}

		following.revision = state.revision;
		return [...copyView(following)!.evacuatedZones];
	};

	assert.deepEqual(follow(), ['z1']);
	set('b', 'z2', true);
	set('c', 'z1', false);
	assert.deepEqual(follow(), ['z2']);
	assert.deepEqual([[...following.drainedUpstreams], [...following.drainedVms]], [[], []]);
});
