//! Errors that prevent a plan from being made or drawn.

/// An error that prevents a plan from being made. Its message fits on one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The recording holds no request, or none is left once unusually large objects are excluded.
    #[error("the recording holds no request")]
    EmptyRecording,
    /// The recording does not give a positive, finite rate for a single transfer to a client. Link
    /// capacities are expressed in multiples of that rate.
    #[error(
        "the recording does not give the rate of a single transfer, which is the unit of link \
         capacities"
    )]
    MissingFlowRate,
    /// The recorded routers were configured with different rates for a single transfer.
    #[error("the recorded routers were configured with different rates of a single transfer")]
    ConflictingFlowRates,
    /// A recorded request belongs to a class that the recording does not describe.
    #[error(
        "a recorded request has class {class}, but the recording describes only {class_count} \
         classes"
    )]
    UnknownClass {
        /// Index of the class in the request.
        class: u8,
        /// Number of classes that the recording describes.
        class_count: usize,
    },
    /// The recording has a site that is missing from the fleet file.
    #[error("the recording has an office {site}, which is missing from the fleet file")]
    UnknownSite {
        /// Name of the site in the recording.
        site: String,
    },
    /// Neither the fleet file nor the recorded endpoint list gives the capacity of the edge caches'
    /// outbound links.
    #[error(
        "offices: {site}: link_flows is given neither in the fleet file nor in the endpoint list"
    )]
    UnknownLinkCapacity {
        /// Name of the site with these edge caches.
        site: String,
    },
    /// The goal is not strictly between 0 and 1.
    #[error("the goal must be above 0% and below 100%")]
    InvalidGoal,
    /// The scale is outside the range that the model supports.
    #[error("the scale must be between 0.05 and 20")]
    InvalidScale,
    /// The warm-up is negative or does not end before the recording does.
    #[error("the warm-up must end within the {recorded_s:.0} s recorded")]
    InvalidWarmUp {
        /// Length of the recorded load, in seconds.
        recorded_s: f64,
    },
    /// An endpoint named in a loss to evaluate does not exist in the fleet.
    #[error("{name} is no hub and no box (OFFICE-N) of this fleet")]
    UnknownEndpoint {
        /// The endpoint name from the options.
        name: String,
    },
}

/// The plotting library failed to draw the plot.
#[derive(Debug, thiserror::Error)]
#[error("drawing the plot: {source}")]
pub struct PlotError {
    /// Error reported by the plotting library.
    #[from]
    pub source: plotters::drawing::DrawingAreaErrorKind<std::io::Error>,
}
