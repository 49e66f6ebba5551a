import {readFileSync} from 'node:fs';
import process from 'node:process';
import type {Command} from 'commander';
import {checkDocument} from '../common/configuration/document.js';
import type {DocumentIssue} from '../common/configuration/document.js';
import {settingsSchema} from '../common/configuration/settings.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import {exitCode} from './exit-code.js';

type FileReport = {file: string; kind: 'settings' | 'configuration'; issues: readonly DocumentIssue[]};

/** Validates a file as process settings if it has the top-level key `cluster`, and as a shared configuration otherwise. Throws if the file cannot be read. */
function checkFile(file: string): FileReport {
	const text = readFileSync(file, 'utf8');
	const kind = /^cluster\s*:/m.test(text) ? 'settings' : 'configuration';
	const result = kind === 'settings' ? checkDocument(text, settingsSchema) : checkDocument(text, sharedConfigurationSchema);
	return {file, kind, issues: result.ok ? [] : result.issues};
}

function printReport({file, kind, issues}: FileReport): void {
	if (issues.length === 0) {
		console.log(`${file}: valid ${kind}`);
	}

	for (const issue of issues) {
		console.log(`${file}:${issue.line}: ${issue.path || '(document)'}: ${issue.message}`);
	}
}

/** Adds the `check` subcommand. */
export function registerCheck(program: Command): void {
	program.command('check')
		.description('validate settings and shared configurations without starting anything')
		.argument('<files...>', 'YAML files')
		.option('--json', 'print the report as JSON')
		.addHelpText('after', '\nExample:\n  $ jasminehead check examples/bereket/configuration.yaml\n\nExit codes: 0 all valid, 2 a file is faulty, 3 a file cannot be read')
		.action((files: string[], options: {json?: boolean}) => {
			const reports = files.map(file => checkFile(file));
			if (options.json) {
				console.log(JSON.stringify(reports));
			} else {
				for (const report of reports) {
					printReport(report);
				}
			}

			process.exitCode = reports.some(report => report.issues.length > 0) ? exitCode.invalidInput : exitCode.ok;
		});
}
