/** Difference between two configurations, for an operator who is about to replace one by the other. Contains no API keys. */
import type {Forwarding} from './forwarding.js';
import type {SharedConfiguration} from './shared.js';

export type FieldChange = {
	readonly field: string;
	/** Values in the configuration in force and in the new one; undefined if the field is absent there. */
	readonly before: unknown;
	readonly after: unknown;
};

export type Change = {
	readonly section: string;
	/** Name of the entry; empty for a section without entries. */
	readonly name: string;
	readonly kind: 'added' | 'removed' | 'changed';
	/** Changed fields; empty unless the kind is `changed`. */
	readonly fields: readonly FieldChange[];
};

type Entry = Readonly<Record<string, unknown>>;
type Section = {readonly name: string; readonly entries: ReadonlyMap<string, Entry>};

/** Returns what changes if `after` replaces `before`, by section and entry. The order of entries and keys does not count. */
export function findChanges(before: SharedConfiguration, after: SharedConfiguration): Change[] {
	const [old, next] = [toSections(before), toSections(after)];
	const changes = next.flatMap(({name, entries}, i) => compareSection(name, old[i]!.entries, entries));
	return [...changes, ...compareKeys(before.forwarding, after.forwarding)].sort((a, b) => sectionRank(a) - sectionRank(b) || compareNames(a.name, b.name));
}

const sectionOrder = ['routes', 'services', 'tenants', 'limits'];

function sectionRank({section}: Change): number {
	const rank = sectionOrder.indexOf(section);
	return rank === -1 ? sectionOrder.length : rank;
}

function compareNames(a: string, b: string): number {
	return a < b ? -1 : Number(a > b);
}

/** Returns the entries of all sections by name. What the configuration says of a customer in two places is one entry, without its keys. */
function toSections({
	profiles, tenants: rateLimits, services, upstreams, weightStore, platform, forwarding,
}: SharedConfiguration): Section[] {
	const byName = (entries: ReadonlyArray<{readonly name: string}> = []) => new Map(entries.map(({name, ...fields}) => [name, fields]));
	const customers = new Map<string, Entry>(Object.entries(rateLimits));
	for (const {name, keys: _keys, ...fields} of forwarding?.tenants ?? []) {
		customers.set(name, {...customers.get(name), ...fields});
	}

	const singles = Object.entries({limits: forwarding?.limits, weightStore, platform});
	return [
		{name: 'routes', entries: byName(forwarding?.routes)},
		{name: 'services', entries: new Map([...Object.entries(services), ...byName(forwarding?.services)])},
		{name: 'tenants', entries: customers},
		...singles.map(([name, entry]) => ({name, entries: new Map(entry ? [['', entry]] : [])})),
		{name: 'profiles', entries: new Map(Object.entries(profiles))},
		{name: 'upstreams', entries: new Map(Object.entries(upstreams))},
	];
}

function compareSection(section: string, before: ReadonlyMap<string, Entry>, after: ReadonlyMap<string, Entry>): Change[] {
	const added = [...after.keys()].filter(name => !before.has(name));
	const removed = [...before.keys()].filter(name => !after.has(name));
	return [
		...added.map(name => ({
			section, name, kind: 'added' as const, fields: [],
		})),
		...removed.map(name => ({
			section, name, kind: 'removed' as const, fields: [],
		})),
		...[...after].flatMap(([name, entry]) => {
			const known = before.get(name);
			const fields = known ? compareFields(known, entry) : [];
			return fields.length === 0
				? []
				: [{
					section, name, kind: 'changed' as const, fields,
				}];
		}),
	];
}

function compareFields(before: Entry, after: Entry): FieldChange[] {
	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...names].filter(field => !isEqual(before[field], after[field])).map(field => ({field, before: before[field], after: after[field]}));
}

/** Compares the keys of the customers that both configurations have, and returns only how many there are and how many differ. */
function compareKeys(before: Forwarding | undefined, after: Forwarding | undefined): Change[] {
	const known = new Map(before?.tenants.map(({name, keys}) => [name, keys]));
	return (after?.tenants ?? []).flatMap(({name, keys}) => {
		const old = known.get(name);
		const added = keys.filter(key => !old?.includes(key)).length;
		const removed = (old ?? []).filter(key => !keys.includes(key)).length;
		return !old || added + removed === 0
			? []
			: [{
				section: 'tenants', name, kind: 'changed' as const, fields: [{field: 'keys', before: `${old.length} keys`, after: `${keys.length} keys (${added} added, ${removed} withdrawn)`}],
			}];
	});
}

/** Whether two values of a configuration are equal; the order of an object's properties does not count. */
function isEqual(a: unknown, b: unknown): boolean {
	return canonical(a) === canonical(b);
}

function canonical(value: unknown): string {
	return JSON.stringify(value, (_key, inner: unknown) => inner !== null && typeof inner === 'object' && !Array.isArray(inner)
		? Object.fromEntries(Object.entries(inner).sort(([a], [b]) => compareNames(a, b)))
		: inner) ?? '';
}
