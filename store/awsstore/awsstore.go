// Package awsstore implements the platform interface with a DynamoDB table and
// an S3 bucket.
package awsstore

import (
	"context"
	"errors"
	"net"
	"net/url"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/store"
)

// Error is the class of errors that are neither an unavailable platform nor a
// failed condition, such as a request that the platform calls invalid.
var Error = errs.Class("awsstore")

// DefaultTimeout bounds one call if the settings name no timeout.
const DefaultTimeout = 2 * time.Second

// region is sent in request signatures. The endpoint comes from the settings.
const region = "local"

// Settings say where the table and the bucket are.
type Settings struct {
	TableURL      string        `json:"table_url"`
	ObjectURL     string        `json:"object_url"`
	Table         string        `json:"table"`
	Bucket        string        `json:"bucket"`
	Timeout       time.Duration `json:"-"` // per call; 0 means DefaultTimeout
	SourceAddress net.Addr      `json:"-"` // local address of connections; nil leaves the choice to the system
}

// Store holds the two adapters. Both are safe for concurrent use.
type Store struct {
	Table   *Table
	Objects *Objects
}

// New returns adapters for the settings. It opens no connection.
func New(s Settings) (*Store, error) {
	for name, value := range map[string]string{"table_url": s.TableURL, "object_url": s.ObjectURL} {
		if u, err := url.Parse(value); err != nil || u.Host == "" {
			return nil, Error.New("%s: %q is not a URL", name, value)
		}
	}
	if s.Table == "" || s.Bucket == "" {
		return nil, Error.New("table and bucket must not be empty")
	}
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	provider := credentials.NewStaticCredentialsProvider("papayarail", "papayarail", "")
	client := awshttp.NewBuildableClient().WithDialerOptions(func(d *net.Dialer) { d.LocalAddr = s.SourceAddress })
	table := dynamodb.New(dynamodb.Options{
		Region:       region,
		BaseEndpoint: aws.String(s.TableURL),
		Credentials:  provider,
		HTTPClient:   client,
		Retryer:      aws.NopRetryer{}, // a retry may hide that the first attempt took effect
	})
	objects := s3.New(s3.Options{
		Region:                     region,
		BaseEndpoint:               aws.String(s.ObjectURL),
		Credentials:                provider,
		HTTPClient:                 client,
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Store{
		Table:   &Table{client: table, name: s.Table, timeout: s.Timeout},
		Objects: &Objects{client: objects, bucket: s.Bucket, timeout: s.Timeout},
	}, nil
}

// throttled lists error codes of requests that were refused before any effect.
var throttled = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"SlowDown":                               true,
}

// classify converts an SDK error of an operation. A read has no effect, so its
// failure always counts as not performed.
func classify(operation string, read bool, err error) error {
	outcome := store.Unknown
	if read || refused(err) {
		outcome = store.NotPerformed
	}
	var api smithy.APIError
	var response *awshttp.ResponseError
	if errors.As(err, &api) && throttled[api.ErrorCode()] {
		outcome = store.NotPerformed
	} else if errors.As(err, &response) && response.HTTPStatusCode() >= 400 && response.HTTPStatusCode() < 500 {
		return Error.New("%s: %v", operation, err)
	}
	return &store.UnavailableError{Operation: operation, Outcome: outcome, Err: err}
}

// refused reports whether no connection could be opened.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// begin bounds a call. It fails if the context has already ended, because
// nothing has been sent then.
func begin(ctx context.Context, operation string, timeout time.Duration) (context.Context, context.CancelFunc, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, &store.UnavailableError{Operation: operation, Outcome: store.NotPerformed, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, cancel, nil
}
