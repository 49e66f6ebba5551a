import {checkDocument} from '../common/configuration/document.js';
import type {DocumentIssue} from '../common/configuration/document.js';
import {settingsSchema} from '../common/configuration/settings.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import type {SharedConfiguration} from '../common/configuration/types.js';
import {errorContext, JasmineheadError} from '../common/core/errors.js';
import {callOperatorApi, describeProblem} from './operator-client.js';

/** A parsed file. `configuration` is undefined if the file holds settings or has issues. */
export type ParsedFile = {
	readonly kind: 'settings' | 'configuration';
	readonly issues: readonly DocumentIssue[];
	readonly configuration?: SharedConfiguration;
};

/** The format of the files that the `check` subcommand validates, and the way to the configuration in force. */
export abstract class CheckFormat {
	/** Name of the settings file format for the help text. */
	abstract readonly settingsName: string;

	abstract parse(text: string): ParsedFile;
	/** Fetches the text of the configuration in force from the operator listener at `address`. Throws if no configuration can be fetched. */
	abstract fetchCurrent(address: string, token: string): Promise<string>;
	/** Returns the regions that the settings of a process name; undefined if such settings do not name all regions. */
	abstract readRegions(settings: string): ReadonlySet<string> | undefined;
}

/** The product's own format: YAML files, and the operator API. */
export class OwnCheckFormat extends CheckFormat {
	override readonly settingsName = 'YAML settings';

	/** Parses a text as process settings if it has the top-level key `cluster`, and as a shared configuration otherwise. */
	override parse(text: string): ParsedFile {
		if (/^cluster\s*:/m.test(text)) {
			const settings = checkDocument(text, settingsSchema);
			return {kind: 'settings', issues: settings.ok ? [] : settings.issues};
		}

		const result = checkDocument(text, sharedConfigurationSchema);
		return {kind: 'configuration', ...(result.ok ? {issues: [], configuration: result.value} : {issues: result.issues})};
	}

	override async fetchCurrent(address: string, token: string): Promise<string> {
		const reply = await callOperatorApi({operators: address, token}, 'GET', '/v1/config');
		const source = (reply.body as {source?: unknown} | undefined)?.source;
		if (reply.status !== 200 || typeof source !== 'string') {
			throw new JasmineheadError(`the configuration in force cannot be read from ${address}: ${describeProblem(reply)}`, errorContext({step: 'check', peer: address}));
		}

		return source;
	}

	override readRegions(): undefined {
		// The settings of one process name only its own region.
		return undefined;
	}
}
