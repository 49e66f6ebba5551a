/** Part ids: what two requests, or two attempts at one, may have in common. */
import {hashText} from '../core/fnv.js';
import {maxPartLength, maxPartsPerReport} from './messages.js';
import type {PartId} from './types.js';

/** Prefix of the part id that stands for a request as a whole. */
export const requestPartPrefix = 'req:';
const prefillPrefix = 'prefill ';
const latePrefix = 'late ';

/** Returns the part ids in the form in which reports name them: bounded in number and length, without duplicates. */
export function normalizeParts(ids: readonly string[]): PartId[] {
	return [...new Set(ids)].slice(0, maxPartsPerReport).map(id => id.length > maxPartLength ? hashText(id) : id);
}

/** Returns the ids under which the quarantine keeps parts that crash engines while these read a prompt, apart from those that crash engines while these write. */
export function prefillParts(parts: readonly PartId[]): PartId[] {
	return normalizeParts(parts.map(part => `${prefillPrefix}${part}`));
}

/**
Returns the ids under which the quarantine keeps requests whose server crashed some time after the first output. Most of these only ran beside the
crashing one, so that this evidence counts for less.
*/
export function lateParts(parts: readonly PartId[]): PartId[] {
	return parts.filter(part => part.startsWith(requestPartPrefix)).map(part => `${latePrefix}${part}`);
}

export function isLatePart(part: PartId): boolean {
	return part.startsWith(latePrefix);
}

export function withoutLatePrefix(part: PartId): PartId {
	return isLatePart(part) ? part.slice(latePrefix.length) : part;
}

/** Whether the id stands for a request as a whole. */
export function isRequestPart(part: PartId): boolean {
	return part.startsWith(requestPartPrefix) || isLatePart(part);
}
