import {readFileSync} from 'node:fs';
import process from 'node:process';
import type {Command} from 'commander';
import {findChanges} from '../common/configuration/changes.js';
import type {Change, FieldChange} from '../common/configuration/changes.js';
import type {DocumentIssue} from '../common/configuration/document.js';
import {findConfigurationFindings} from '../common/configuration/findings.js';
import type {Finding} from '../common/configuration/findings.js';
import type {SharedConfiguration} from '../common/configuration/types.js';
import {errorContext, JasmineheadError} from '../common/core/errors.js';
import {OwnCheckFormat} from './check-format.js';
import type {CheckFormat} from './check-format.js';
import {exitCode} from './exit-code.js';

export type CheckOptions = {
	readonly json?: boolean;
	/** File with the configuration to compare with. */
	readonly against?: string;
	/** Operator listener from which the configuration in force is fetched, to compare with it. */
	readonly current?: string;
	readonly token?: string;
	/** Names of all regions. */
	readonly regions?: readonly string[];
	/** Settings file that names the regions. */
	readonly settings?: string;
	/** Whether warnings fail the check, too. */
	readonly strict?: boolean;
};

export type FileReport = {
	readonly file: string;
	readonly kind: 'settings' | 'configuration';
	readonly issues: readonly DocumentIssue[];
	readonly findings: readonly Finding[];
	/** Changes against the configuration to compare with; undefined if there is none, or if the file is not a valid configuration. */
	readonly changes?: readonly Change[] | undefined;
};

/** Checks files. Throws if a file cannot be read, or if the configuration to compare with cannot be read or parsed. */
export async function checkFiles(files: readonly string[], options: CheckOptions, format: CheckFormat): Promise<FileReport[]> {
	const knownRegions = readKnownRegions(options, format);
	const before = await readBefore(options, format);
	return files.map(file => {
		const {kind, issues, configuration} = format.parse(readFileSync(file, 'utf8'));
		return {
			file, kind, issues,
			findings: configuration ? findConfigurationFindings(configuration, {knownRegions}) : [],
			changes: before && configuration ? findChanges(before, configuration) : undefined,
		};
	});
}

function readKnownRegions({regions, settings}: CheckOptions, format: CheckFormat): ReadonlySet<string> | undefined {
	if (regions) {
		return new Set(regions);
	}

	return settings === undefined ? undefined : format.readRegions(readFileSync(settings, 'utf8'));
}

/** Returns the configuration to compare with; undefined if there is none. */
async function readBefore({against, current, token = ''}: CheckOptions, format: CheckFormat): Promise<SharedConfiguration | undefined> {
	if (against === undefined && current === undefined) {
		return undefined;
	}

	const text = against === undefined ? await format.fetchCurrent(current!, token) : readFileSync(against, 'utf8');
	const {configuration, issues} = format.parse(text);
	if (!configuration) {
		const [issue] = issues;
		const reason = issue ? `${issue.path || '(document)'}: ${issue.message}` : 'it is not a configuration';
		const name = against ?? 'the configuration in force';
		throw new JasmineheadError(`${name} cannot be compared with: ${reason}`, errorContext({step: 'check', peer: name}));
	}

	return configuration;
}

/** Returns the exit code for the reports: files with issues or errors are invalid, and with `isStrict` also files with warnings. */
export function exitCodeOf(reports: readonly FileReport[], isStrict: boolean): number {
	const isFaulty = ({issues, findings}: FileReport) => issues.length > 0 || findings.some(({severity}) => severity === 'error' || (isStrict && severity === 'warning'));
	return reports.some(report => isFaulty(report)) ? exitCode.invalidInput : exitCode.ok;
}

/** Describes a report in lines of text. */
export function describeReport({file, kind, issues, findings, changes}: FileReport): string[] {
	return [
		...(issues.length === 0 ? [`${file}: valid ${kind}`] : []),
		...issues.map(({line, path, message}) => `${file}:${line}: ${path || '(document)'}: ${message}`),
		...findings.map(({severity, code, path, message}) => `${file}: ${severity}: ${path}: ${message} [${code}]`),
		...(changes?.length === 0 ? [`${file}: no changes`] : []),
		...(changes ?? []).flatMap(change => describeChange(change)),
	];
}

const changeMarks = {added: '+', removed: '-', changed: '~'};

function describeChange({section, name, kind, fields}: Change): string[] {
	const entry = name === '' ? section : `${section}.${name}`;
	return [`${changeMarks[kind]} ${entry}`, ...fields.map(field => `    ${describeField(field)}`)];
}

function describeField({field, before, after}: FieldChange): string {
	const text = (value: unknown) => value === undefined ? '(absent)' : JSON.stringify(value);
	return `${field}: ${text(before)} -> ${text(after)}`;
}

/** Adds the `check` subcommand. */
export function registerCheck(program: Command, format: CheckFormat = new OwnCheckFormat()): void {
	program.command('check')
		.description('validate settings and shared configurations without starting anything')
		.argument('<files...>', 'files to check')
		.option('--json', 'print the report as JSON')
		.option('--against <file>', 'also list the changes against the configuration in this file')
		.option('--current <address>', 'also list the changes against the configuration in force; operator listener of any process, such as 127.0.0.1:9100')
		.option('--token <token>', 'operator token of the settings, for --current')
		.option('--regions <names>', 'names of all regions, separated by commas; names that are not among them are reported', (text: string) => text.split(','))
		.option('--settings <file>', `${format.settingsName} of a process that name the regions, in place of --regions`)
		.option('--strict', 'fail on warnings, too')
		.addHelpText('after', '\nExample:\n  $ jasminehead check --against current.yaml new.yaml')
		.addHelpText('after', '\nExit codes: 0 all valid, 2 a file is faulty or has errors, 3 a file or the configuration to compare with cannot be read')
		.action(async (files: string[], options: CheckOptions) => {
			const reports = await checkFiles(files, options, format);
			console.log(options.json ? JSON.stringify(reports) : reports.flatMap(report => describeReport(report)).join('\n'));
			process.exitCode = exitCodeOf(reports, options.strict ?? false);
		});
}
