/** What a process tells the others about crashes, sound parts and blocks, and how often. */
import {maxItemsPerMessage} from './messages.js';
import {reportEndMs} from './state.js';
import type {NewsItem, QuarantineState} from './state.js';
import type {QuarantineEffect, QuarantineNews} from './types.js';

/** Number of times that an item is sent along with gossip, for each doubling of the member count. */
const transmissionsPerDoubling = 3;
/** Number of blocks that go with each gossip message, in turn, so that a process that missed one learns of it. */
const blocksPerGossip = 4;
/** Limit of the queue, in items; beyond it the oldest item goes. */
const maxNewsItems = 512;

/** Queues an item to be sent, in place of an earlier one with the same key. */
export function queueNews(state: QuarantineState, kind: NewsItem['kind'], key: string): void {
	const item = `${kind} ${key}`;
	state.newsItems.delete(item);
	state.newsItems.set(item, {kind, key, sends: 0});
	if (state.newsItems.size > maxNewsItems) {
		state.newsItems.delete(state.newsItems.keys().next().value!);
	}
}

/** Sends what was queued and not yet sent to some members at once. */
export function pushNews(state: QuarantineState, nowMs: number): QuarantineEffect[] {
	const unsent = [...state.newsItems.values()].filter(({sends}) => sends === 0).slice(0, maxItemsPerMessage);
	for (const item of unsent) {
		item.sends++;
	}

	const news = createNews(state, unsent, nowMs);
	return news ? [{type: 'quarantine/push', news}] : [];
}

/** Returns the queued items that were sent least often, and the next few blocks. Removes items that have reached the transmission limit. */
export function takeNews(state: QuarantineState, memberCount: number, nowMs: number): QuarantineNews | undefined {
	const transmissionLimit = transmissionsPerDoubling * Math.ceil(Math.log2(memberCount + 2));
	const chosen = [...state.newsItems].sort(([, a], [, b]) => a.sends - b.sends).slice(0, maxItemsPerMessage - blocksPerGossip);
	for (const [key, item] of chosen) {
		item.sends++;
		if (item.sends > transmissionLimit) {
			state.newsItems.delete(key);
		}
	}

	const items = new Map(chosen);
	for (const key of nextBlocks(state)) {
		items.set(`block ${key}`, {kind: 'block', key, sends: 0});
	}

	return createNews(state, [...items.values()], nowMs);
}

/** Returns the keys of the next `blocksPerGossip` blocks, in turn. */
function nextBlocks(state: QuarantineState): string[] {
	const keys = [...state.blocks.keys()];
	const count = Math.min(blocksPerGossip, keys.length);
	const start = state.nextBlock;
	state.nextBlock = keys.length === 0 ? 0 : (start + count) % keys.length;
	return Array.from({length: count}, (_, i) => keys[(start + i) % keys.length]!);
}

/** Returns all blocks and the newest reports, for a process that may have missed the news. */
export function fullNews(state: QuarantineState, nowMs: number): QuarantineNews | undefined {
	const reports = [...state.reports.values()].filter(report => reportEndMs(report) > nowMs).slice(-maxItemsPerMessage);
	const soundParts = new Set(reports.flatMap(({parts}) => parts).filter(part => state.statedSoundMs.has(part)));
	return createNews(state, [
		...reports.map(({id}) => ({kind: 'crash' as const, key: id})),
		...[...soundParts].slice(-maxItemsPerMessage).map(key => ({kind: 'sound' as const, key})),
		...[...state.blocks.keys()].slice(-maxItemsPerMessage).map(key => ({kind: 'block' as const, key})),
	], nowMs);
}

function createNews(state: QuarantineState, items: ReadonlyArray<Pick<NewsItem, 'kind' | 'key'>>, nowMs: number): QuarantineNews | undefined {
	const keysOf = (kind: NewsItem['kind']) => items.filter(item => item.kind === kind).map(({key}) => key);
	const crashes = keysOf('crash').flatMap(id => state.reports.get(id) ?? []).map(({atMs, ...report}) => ({...report, parts: [...report.parts], ageMs: Math.max(0, nowMs - atMs)}));
	const sound = keysOf('sound').filter(part => state.statedSoundMs.has(part)).map(part => ({part, ageMs: Math.max(0, nowMs - state.statedSoundMs.get(part)!)}));
	const blocks = keysOf('block').flatMap(key => state.blocks.get(key) ?? []).map(({
		parts, strikes, startedMs, untilMs, decidedBy, evidence,
	}) => ({
		parts: [...parts], strikes, ageMs: Math.max(0, nowMs - startedMs), remainingMs: Math.max(0, untilMs - nowMs), decidedBy, evidence: [...evidence],
	}));
	if (crashes.length + sound.length + blocks.length === 0) {
		return undefined;
	}

	return {
		type: 'quarantine.news', crashes, sound, blocks,
	};
}
